/** The names and identities of entry instances, endpoints, workspaces and chats. */
@NullMarked
package io.chicorytrestle.core.identity;

import org.jspecify.annotations.NullMarked;
