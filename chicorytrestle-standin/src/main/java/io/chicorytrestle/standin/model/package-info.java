/**
 * Models of engines and plain services that take the time as an argument and use neither threads
 * nor sockets.
 */
@NullMarked
package io.chicorytrestle.standin.model;

import org.jspecify.annotations.NullMarked;
