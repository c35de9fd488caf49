package io.chicorytrestle.core.identity;

/**
 * Identifies a chat of a workspace.
 *
 * @param workspace The workspace that owns the chat.
 * @param chat The chat's identifier, unique within its workspace.
 */
public record ChatKey(String workspace, String chat) {

    /**
     * Creates a new key.
     *
     * @throws IllegalArgumentException If a name is malformed.
     */
    public ChatKey {
        Names.require("workspace", workspace);
        Names.require("chat", chat);
    }
}
