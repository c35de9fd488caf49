package io.chicorytrestle.core.admission;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Counts the bytes that an instance holds for its callers, and decides which caller yields when
 * they are too many. It answers the load of callers outside of the limits: long answers that are
 * left unread, bodies that stop before their end, requests that are sent ahead. The caller that
 * holds most and moves least yields first, and none that holds less than an equal share of the
 * bound. A request that an endpoint may be running does not yield, unless its caller leaves answers
 * unread or sends many requests ahead. This class is not thread-safe: it is confined to one thread.
 */
public final class HeldBytes {

    /**
     * The bytes sent ahead of an answer up to which a running request does not yield: several usual
     * requests.
     */
    private static final long FEW_BYTES_AHEAD = 16_384;

    /** The part of an equal share of the bound up to which an account gets room at any time. */
    private static final long SMALL_PART = 2;

    /** The time in milliseconds for which a caller may move nothing: it had no turn yet. */
    private static final long STILL_MILLIS = 100;

    /** The bytes that are added to the moved ones, so that new callers do not count as stopped. */
    private static final double MOVED_OFFSET_BYTES = 4_096;

    /** The time in milliseconds in which the weight of moved bytes falls to a third. */
    private static final double DECAY_MILLIS = 1_500;

    /** The bytes that may be held. */
    private final long boundBytes;

    /** The number of accounts that may be open. */
    private final int maximumAccounts;

    /** The time in milliseconds after which a caller yields that takes no byte of an answer. */
    private final long unreadTimeoutMillis;

    /** The open accounts in the order in which they were opened. */
    private final Set<Account> accounts = new LinkedHashSet<>();

    /** The bytes held by place. */
    private final long[] placeBytes = new long[Place.values().length];

    /** The bytes held in all places. */
    private long totalBytes;

    /**
     * Creates an empty ledger.
     *
     * @param boundBytes The bytes that may be held.
     * @param maximumAccounts The number of accounts that may be open, at least one.
     * @param unreadTimeoutMillis The time in milliseconds after which a caller yields that takes no
     *     byte of an answer.
     * @throws IllegalArgumentException If a bound is not positive.
     */
    public HeldBytes(long boundBytes, int maximumAccounts, long unreadTimeoutMillis) {
        if (boundBytes <= 0 || maximumAccounts < 1) {
            throw new IllegalArgumentException(
                    "Bounds must be positive: "
                            + boundBytes
                            + " bytes, "
                            + maximumAccounts
                            + " accounts");
        }
        this.boundBytes = boundBytes;
        this.maximumAccounts = maximumAccounts;
        this.unreadTimeoutMillis = unreadTimeoutMillis;
    }

    /**
     * Opens the account of a caller's connection.
     *
     * @param owner The connection.
     * @param nowMillis The present time in milliseconds.
     * @return The account, which holds nothing.
     */
    public Account open(Owner owner, long nowMillis) {
        Account account = new Account(owner, nowMillis);
        accounts.add(account);
        return account;
    }

    /**
     * Returns the bytes held in a place.
     *
     * @param place The place.
     * @return The number of bytes.
     */
    public long heldBytes(Place place) {
        return placeBytes[place.index];
    }

    /**
     * Returns the bytes held in all places.
     *
     * @return The number of bytes.
     */
    public long heldBytes() {
        return totalBytes;
    }

    /**
     * Returns {@code true} if more bytes are held than may be.
     *
     * @return {@code true} until enough callers have yielded or moved on.
     */
    public boolean isOverBound() {
        return totalBytes > boundBytes;
    }

    /**
     * Lets callers yield until an account may hold more. One that holds little gets room also when
     * none can yield, so that requests under way do not keep ordinary callers out.
     *
     * @param account The account, which does not yield here itself.
     * @param bytes The bytes that it is about to hold in addition.
     * @param nowMillis The present time in milliseconds.
     * @return {@code false} if it is this account that has to yield, or none can.
     */
    public boolean makeRoom(Account account, long bytes, long nowMillis) {
        while (totalBytes + bytes > boundBytes) {
            Optional<Account> first = firstToYield(nowMillis);
            if (first.isEmpty() || first.get() == account) {
                return account.accountBytes + bytes <= equalShareBytes() / SMALL_PART;
            }
            first.get().yieldFor(Reason.MEMORY);
        }
        return true;
    }

    /**
     * Returns the part of the bound that each account would get if all were open.
     *
     * @return The number of bytes.
     */
    private long equalShareBytes() {
        return boundBytes / maximumAccounts;
    }

    /**
     * Lets callers yield until no more is held than may be, or none can.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void relieve(long nowMillis) {
        while (isOverBound()) {
            Optional<Account> first = firstToYield(nowMillis);
            if (first.isEmpty()) {
                return;
            }
            first.get().yieldFor(Reason.MEMORY);
        }
    }

    /**
     * Lets the caller yield that has moved nothing for the longest time if no further account may
     * be opened.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code false} if no account may be opened, since none can yield.
     */
    public boolean makeRoomForAccount(long nowMillis) {
        while (accounts.size() >= maximumAccounts) {
            Optional<Account> first = firstToClose(nowMillis);
            if (first.isEmpty()) {
                return false;
            }
            first.get().yieldFor(Reason.CONNECTIONS);
        }
        return true;
    }

    /**
     * Returns {@code true} if a further account may be opened, even if another one has to yield.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code false} if a new connection has to wait.
     */
    public boolean hasRoomForAccount(long nowMillis) {
        return accounts.size() < maximumAccounts || firstToClose(nowMillis).isPresent();
    }

    /**
     * Returns the account that yields first to a new connection.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The one that has moved nothing for the longest time, or empty if none can yield.
     */
    private Optional<Account> firstToClose(long nowMillis) {
        return accounts.stream()
                .filter(account -> !account.hasYielded && account.phase.mayYield())
                .filter(account -> account.isStill(nowMillis))
                .min(Comparator.comparingLong(account -> account.movedMillis));
    }

    /**
     * Lets callers yield that have taken no byte of an answer for too long.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void step(long nowMillis) {
        List.copyOf(accounts).stream()
                .filter(account -> !account.hasYielded && account.phase == Phase.UNREAD)
                .filter(account -> nowMillis - account.movedMillis >= unreadTimeoutMillis)
                .forEach(account -> account.yieldFor(Reason.UNREAD));
        relieve(nowMillis);
    }

    /**
     * Returns the account that yields first.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The one that holds most and moves least, or empty if none can yield.
     */
    private Optional<Account> firstToYield(long nowMillis) {
        long equalShareBytes = equalShareBytes();
        return accounts.stream()
                .filter(account -> account.canYield() && account.accountBytes > equalShareBytes)
                .max(Comparator.comparingDouble(account -> account.heldForMoved(nowMillis)));
    }

    /** Enumerates where bytes are held. */
    public enum Place {

        /** The body of a request, with the copy that is made when it is sent. */
        BODY(0),

        /** The buffers of a request that is not complete. */
        RECEIVE_BUFFER(1),

        /** Requests that were sent ahead of an answer. */
        AHEAD(2),

        /** The part of an answer that is not forwarded yet. */
        BUFFERED(3),

        /** The part of an answer that the caller has not taken. */
        ANSWER(4),

        /** The head of a request, by the objects that its header lines become. */
        HEAD(5);

        /** The position in an array with an amount for each place. */
        private final int index;

        /**
         * Creates a place.
         *
         * @param index The position in an array with an amount for each place.
         */
        Place(int index) {
            this.index = index;
        }

        /**
         * Returns the name for metrics.
         *
         * @return The name in lower case.
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Enumerates what a caller's connection is waiting for. */
    public enum Phase {

        /** The next request. */
        IDLE(true),

        /** The rest of a request. */
        RECEIVING(true),

        /** The answer of an endpoint, which may be running the request. */
        RUNNING(false),

        /** The caller, which leaves an answer unread. */
        UNREAD(true);

        /** Whether the connection may be closed or its request refused. */
        private final boolean mayYield;

        /**
         * Creates a phase.
         *
         * @param mayYield Whether the connection may be closed or its request refused.
         */
        Phase(boolean mayYield) {
            this.mayYield = mayYield;
        }

        /**
         * Returns {@code true} if the connection may be closed or its request refused.
         *
         * @return {@code false} while an endpoint may be running its request.
         */
        boolean mayYield() {
            return mayYield;
        }
    }

    /** Enumerates why a caller yields. */
    public enum Reason {

        /** Too many bytes are held. */
        MEMORY,

        /** Too many connections are open. */
        CONNECTIONS,

        /** It took no byte of an answer for too long. */
        UNREAD;

        /**
         * Returns the name for logs and metrics.
         *
         * @return The name in lower case.
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** The connection of an account. */
    @FunctionalInterface
    public interface Owner {

        /**
         * Refuses the incomplete request or closes the connection, and releases what it holds.
         *
         * @param reason Why the caller yields.
         */
        void yieldFor(Reason reason);
    }

    /** What is held for one caller's connection. */
    public final class Account {

        /** The connection. */
        private final Owner owner;

        /** The bytes held by place. */
        private final long[] ownPlaceBytes = new long[Place.values().length];

        /** The bytes held in all places. */
        private long accountBytes;

        /** What the connection is waiting for. */
        private Phase phase = Phase.IDLE;

        /** The bytes moved, of which older ones count less. */
        private double movedBytes;

        /** The time in milliseconds at which bytes were moved last. */
        private long movedMillis;

        /** Whether the connection was told to yield. */
        private boolean hasYielded;

        /**
         * Creates an account that holds nothing.
         *
         * @param owner The connection.
         * @param nowMillis The present time in milliseconds.
         */
        private Account(Owner owner, long nowMillis) {
            this.owner = owner;
            movedMillis = nowMillis;
        }

        /**
         * Sets the bytes that are held in a place.
         *
         * @param place The place.
         * @param bytes The number of bytes.
         */
        public void hold(Place place, long bytes) {
            long addedBytes = bytes - ownPlaceBytes[place.index];
            if (addedBytes != 0 && accounts.contains(this)) {
                ownPlaceBytes[place.index] = bytes;
                placeBytes[place.index] += addedBytes;
                accountBytes += addedBytes;
                totalBytes += addedBytes;
            }
        }

        /**
         * Records that the caller sent or took bytes.
         *
         * @param bytes The number of bytes.
         * @param nowMillis The present time in milliseconds.
         */
        public void recordMoved(long bytes, long nowMillis) {
            movedBytes = movedBytes(nowMillis) + bytes;
            movedMillis = nowMillis;
        }

        /**
         * Sets what the connection is waiting for.
         *
         * @param newPhase The new phase.
         */
        public void enter(Phase newPhase) {
            phase = newPhase;
        }

        /** Releases everything; the connection was closed. */
        public void close() {
            for (Place place : Place.values()) {
                hold(place, 0);
            }
            accounts.remove(this);
        }

        /**
         * Returns {@code true} if the connection can yield for memory.
         *
         * @return {@code true} if no endpoint may be running its request or it sends many ahead.
         */
        private boolean canYield() {
            return !hasYielded
                    && (phase.mayYield() || ownPlaceBytes[Place.AHEAD.index] > FEW_BYTES_AHEAD);
        }

        /**
         * Returns the bytes moved, of which older ones count less.
         *
         * @param nowMillis The present time in milliseconds.
         * @return The number of bytes.
         */
        private double movedBytes(long nowMillis) {
            return movedBytes * Math.exp((movedMillis - nowMillis) / DECAY_MILLIS);
        }

        /**
         * Returns {@code true} if nothing was moved for a while.
         *
         * @param nowMillis The present time in milliseconds.
         * @return {@code false} if the caller had no time yet to send or take more.
         */
        private boolean isStill(long nowMillis) {
            return nowMillis - movedMillis >= STILL_MILLIS;
        }

        /**
         * Returns how much is held for each byte that was moved, at most one if some just were.
         *
         * @param nowMillis The present time in milliseconds.
         * @return The proportion, of which the largest yields first.
         */
        private double heldForMoved(long nowMillis) {
            long justMovedBytes = isStill(nowMillis) ? 0 : accountBytes;
            return accountBytes / (MOVED_OFFSET_BYTES + justMovedBytes + movedBytes(nowMillis));
        }

        /**
         * Tells the connection to yield, once.
         *
         * @param reason Why it yields.
         */
        private void yieldFor(Reason reason) {
            hasYielded = true;
            owner.yieldFor(reason);
        }
    }
}
