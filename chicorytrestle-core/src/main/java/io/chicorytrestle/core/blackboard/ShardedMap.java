package io.chicorytrestle.core.blackboard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Maps keys to values in shards with a lock each, so that threads rarely block each other. This
 * class is thread-safe.
 *
 * @param <K> The type of the keys.
 * @param <V> The type of the values.
 */
public final class ShardedMap<K, V> {

    /** The number of shards, a power of two. */
    private static final int SHARD_COUNT = 16;

    /** The number of bits by which a hash is shifted to mix its upper half into the lower one. */
    private static final int HASH_SHIFT_BITS = 16;

    /** The shards, selected by hash. */
    private final List<Shard<K, V>> shards;

    /**
     * Creates a new map.
     *
     * @param shards The shards.
     */
    private ShardedMap(List<Shard<K, V>> shards) {
        this.shards = shards;
    }

    /**
     * Creates a new, empty map.
     *
     * @param <K> The type of the keys.
     * @param <V> The type of the values.
     * @return A new, empty map.
     */
    public static <K, V> ShardedMap<K, V> make() {
        List<Shard<K, V>> shards = new ArrayList<>(SHARD_COUNT);
        for (int index = 0; index < SHARD_COUNT; index++) {
            shards.add(new Shard<>());
        }
        return new ShardedMap<>(List.copyOf(shards));
    }

    /**
     * Returns the value of a key.
     *
     * @param key The key.
     * @return The value, or {@code null} if there is none.
     */
    public @Nullable V get(K key) {
        Shard<K, V> shard = shardOf(key);
        shard.lock.lock();
        try {
            return shard.values.get(key);
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Computes the value of a key atomically, under the lock of its shard.
     *
     * @param key The key.
     * @param operator Computes the new value from the present one; {@code null} stands for no value
     *     on either side. It must return quickly and must not access this map.
     * @return The new value, or {@code null} if there is none.
     */
    public @Nullable V compute(K key, Function<@Nullable V, @Nullable V> operator) {
        Shard<K, V> shard = shardOf(key);
        shard.lock.lock();
        try {
            V value = operator.apply(shard.values.get(key));
            if (value == null) {
                shard.values.remove(key);
            } else {
                shard.values.put(key, value);
            }
            return value;
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Visits all entries, one shard after the other, which is not a consistent snapshot of the
     * whole map.
     *
     * @param consumer The visitor, which is called under the lock of the entry's shard.
     */
    public void forEach(BiConsumer<K, V> consumer) {
        for (Shard<K, V> shard : shards) {
            shard.lock.lock();
            try {
                shard.values.forEach(consumer);
            } finally {
                shard.lock.unlock();
            }
        }
    }

    /**
     * Returns the number of entries.
     *
     * @return The number of entries, counted one shard after the other and hence only approximate
     *     during updates.
     */
    public int size() {
        int size = 0;
        for (Shard<K, V> shard : shards) {
            shard.lock.lock();
            try {
                size += shard.values.size();
            } finally {
                shard.lock.unlock();
            }
        }
        return size;
    }

    /**
     * Returns the shard of a key.
     *
     * @param key The key.
     * @return The shard that holds the key.
     */
    private Shard<K, V> shardOf(K key) {
        int hash = key.hashCode();
        return shards.get((hash ^ (hash >>> HASH_SHIFT_BITS)) & (SHARD_COUNT - 1));
    }

    /**
     * Holds the entries of one shard.
     *
     * @param <K> The type of the keys.
     * @param <V> The type of the values.
     */
    private static final class Shard<K, V> {

        /** Guards the values. */
        private final ReentrantLock lock = new ReentrantLock();

        /** The values by key. */
        private final Map<K, V> values = new HashMap<>();
    }
}
