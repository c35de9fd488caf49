/** The memory of which version of which service began a stream that callers may resume. */
@NullMarked
package io.chicorytrestle.core.stream;

import org.jspecify.annotations.NullMarked;
