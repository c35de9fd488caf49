/**
 * Chat turns: validation of streamed responses, coalescing of repeated requests, and resumption of
 * interrupted streams.
 */
@NullMarked
package io.chicorytrestle.core.chat;

import org.jspecify.annotations.NullMarked;
