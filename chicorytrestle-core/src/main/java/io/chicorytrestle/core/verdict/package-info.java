/** Verdicts on whether a request was executed, and the typed failures that carry them. */
@NullMarked
package io.chicorytrestle.core.verdict;

import org.jspecify.annotations.NullMarked;
