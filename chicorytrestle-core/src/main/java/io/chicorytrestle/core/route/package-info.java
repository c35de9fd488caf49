/** Routes, services and workspaces: what may be asked for, by whom, and which service serves it. */
@NullMarked
package io.chicorytrestle.core.route;

import org.jspecify.annotations.NullMarked;
