package io.chicorytrestle.core.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads the platform's list of members, which may lag behind their real state. */
@FunctionalInterface
public interface InstanceListSource {

    /**
     * Reads the list once.
     *
     * @return A future of the listed members' facts, which fails if the list cannot be read.
     */
    CompletableFuture<List<MemberFact>> read();

    /** A source whose reads always fail. */
    enum NoOp implements InstanceListSource {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public CompletableFuture<List<MemberFact>> read() {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("Cannot read instance list without platform"));
        }
    }
}
