package io.chicorytrestle.core.fleet;

/** Enumerates how an instance learns of endpoints. */
public enum StoreContact {

    /** It hears changes from the instances of its zone that read the store. */
    FOLLOWING(0),

    /** It reads the store and tells its zone. */
    READING(1),

    /** It tries to read the store but does not reach it. */
    LOST(2);

    /** The number in messages. */
    private final int code;

    /**
     * Creates a new contact.
     *
     * @param number The number in messages.
     */
    StoreContact(int number) {
        this.code = number;
    }

    /**
     * Returns the number in messages.
     *
     * @return The number in messages.
     */
    public int code() {
        return code;
    }

    /**
     * Returns the contact with a number in a message.
     *
     * @param number The number.
     * @return The contact; an unknown number, perhaps of a later version, counts as following.
     */
    public static StoreContact of(int number) {
        for (StoreContact contact : values()) {
            if (contact.code == number) {
                return contact;
            }
        }
        return FOLLOWING;
    }
}
