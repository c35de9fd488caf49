/**
 * Decides what happens to a request whose attempt failed: it is repeated, resumed, refused or
 * failed.
 */
@NullMarked
package io.chicorytrestle.core.attempt;

import org.jspecify.annotations.NullMarked;
