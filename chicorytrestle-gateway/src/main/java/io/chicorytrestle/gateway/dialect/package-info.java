/** What a deployment names its headers, translated to and from the product's types. */
@NullMarked
package io.chicorytrestle.gateway.dialect;

import org.jspecify.annotations.NullMarked;
