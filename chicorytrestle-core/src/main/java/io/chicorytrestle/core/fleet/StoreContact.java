package io.chicorytrestle.core.fleet;

/** Enumerates how an instance receives the list of endpoints. */
public enum StoreContact {

    /** It receives changes from the instances of its zone that read the store. */
    FOLLOWING(0),

    /** It reads the store and forwards changes to its zone. */
    READING(1),

    /** It tries to read the store but cannot reach it. */
    LOST(2);

    /** The code in messages, which other versions must interpret alike. */
    private final int code;

    /**
     * Creates a new constant.
     *
     * @param code The code in messages.
     */
    StoreContact(int code) {
        this.code = code;
    }

    /**
     * Returns the code that identifies this constant in messages.
     *
     * @return The code, independent of the order of the constants.
     */
    public int code() {
        return code;
    }

    /**
     * Returns how an instance receives the list of endpoints, as it counts for one that knows a
     * later era of the store: what it reads is of the store as it was.
     *
     * @return {@link #LOST} for a reader, otherwise this.
     */
    public StoreContact inEarlierEra() {
        return this == READING ? LOST : this;
    }

    /**
     * Returns the contact with a code.
     *
     * @param code The code.
     * @return The contact, or {@link #FOLLOWING} for an unknown code, which a later version may
     *     have sent.
     */
    public static StoreContact of(int code) {
        for (StoreContact contact : values()) {
            if (contact.code == code) {
                return contact;
            }
        }
        return FOLLOWING;
    }
}
