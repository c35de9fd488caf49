/** Reading JSON documents field by field. */
@NullMarked
package io.chicorytrestle.gateway.document;

import org.jspecify.annotations.NullMarked;
