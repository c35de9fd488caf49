package io.chicorytrestle.core.blackboard;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Holds the shared values that controllers read and write by topic.
 *
 * <p>Values must be immutable and are replaced as a whole. This class is thread-safe. Listeners of
 * a topic are called in the writer's thread, after the lock of the topic's shard was released, so
 * that the calls for concurrent writes may come in any order.
 */
public final class Blackboard {

    /** The values by topic, in shards. */
    private final ShardedMap<Topic<?>, Object> values = ShardedMap.make();

    /** The listeners by topic, in shards. */
    private final ShardedMap<Topic<?>, List<Consumer<Object>>> listeners = ShardedMap.make();

    /**
     * Returns the present value of a topic.
     *
     * @param topic The topic to read.
     * @param <T> The type of the value.
     * @return The value that was written last, or the topic's initial value.
     */
    public <T> T read(Topic<T> topic) {
        return valueOf(topic, values.get(topic));
    }

    /**
     * Replaces the value of a topic.
     *
     * @param topic The topic to write.
     * @param value The new value.
     * @param <T> The type of the value.
     */
    public <T> void write(Topic<T> topic, T value) {
        update(topic, ignored -> value);
    }

    /**
     * Replaces the value of a topic by one that is computed from the present one.
     *
     * @param topic The topic to write.
     * @param operator Computes the new value under the lock of the topic's shard; it must return
     *     quickly and must not access the blackboard.
     * @param <T> The type of the value.
     * @return The new value.
     */
    public <T> T update(Topic<T> topic, UnaryOperator<T> operator) {
        Object value = values.compute(topic, present -> operator.apply(valueOf(topic, present)));
        T written = valueOf(topic, value);
        List<Consumer<Object>> consumers = listeners.get(topic);
        if (consumers != null) {
            consumers.forEach(consumer -> consumer.accept(written));
        }
        return written;
    }

    /**
     * Adds a listener that is called with each value that is written to a topic from now on.
     *
     * @param topic The topic to listen to.
     * @param listener The listener.
     * @param <T> The type of the value.
     */
    @SuppressWarnings("unchecked")
    public <T> void addListener(Topic<T> topic, Consumer<T> listener) {
        listeners.compute(
                topic,
                present -> {
                    List<Consumer<Object>> replaced =
                            present == null ? new ArrayList<>() : new ArrayList<>(present);
                    replaced.add((Consumer<Object>) (Consumer<?>) listener);
                    return List.copyOf(replaced);
                });
    }

    /**
     * Casts a stored value to its topic's type.
     *
     * @param topic The topic of the value.
     * @param stored The stored value, or {@code null} if none was written.
     * @param <T> The type of the value.
     * @return The stored value, or the topic's initial value.
     */
    @SuppressWarnings("unchecked")
    private static <T> T valueOf(Topic<T> topic, @Nullable Object stored) {
        return stored == null ? topic.initial() : (T) stored;
    }
}
