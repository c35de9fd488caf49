/** The shared state that controllers read and write, in shards with a lock each. */
@NullMarked
package io.chicorytrestle.core.blackboard;

import org.jspecify.annotations.NullMarked;
