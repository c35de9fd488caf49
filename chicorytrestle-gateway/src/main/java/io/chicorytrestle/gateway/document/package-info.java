/** Typed, field-by-field reading of JSON documents. */
@NullMarked
package io.chicorytrestle.gateway.document;

import org.jspecify.annotations.NullMarked;
