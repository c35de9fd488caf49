/**
 * HTTP stand-ins for platform services, engines and plain services, with faults that are switched
 * at run time.
 */
@NullMarked
package io.chicorytrestle.standin.http;

import org.jspecify.annotations.NullMarked;
