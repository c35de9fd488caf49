/** The TCP channel between entry instances: framing, MessagePack encoding and authentication. */
@NullMarked
package io.chicorytrestle.peer;

import org.jspecify.annotations.NullMarked;
