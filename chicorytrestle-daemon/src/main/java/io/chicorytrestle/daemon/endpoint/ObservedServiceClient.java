package io.chicorytrestle.daemon.endpoint;

import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.endpoint.ServiceRequest;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.membership.MembershipObserver;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

/**
 * Reaches plain services through another client and tells an observer which of them fail.
 *
 * @param delegate The other client.
 * @param observer Learns of signs of life and failures.
 * @param clock Tells the present time in milliseconds.
 */
public record ObservedServiceClient(
        ServiceClient delegate, MembershipObserver observer, LongSupplier clock)
        implements ServiceClient {

    @Override
    public CompletableFuture<ServiceResponse> execute(
            Endpoint service, ServiceRequest request, LongPredicate mayWrite) {
        return delegate.execute(service, request, mayWrite)
                .whenComplete(
                        (answer, failure) -> {
                            if (answer != null) {
                                observer.endpointSucceeded(service.identity(), clock.getAsLong());
                            } else if (failure instanceof RequestFailureException known
                                    && EndpointProtocol.isEndpointFault(known)) {
                                observer.endpointFailed(service.identity(), clock.getAsLong());
                            }
                        });
    }
}
