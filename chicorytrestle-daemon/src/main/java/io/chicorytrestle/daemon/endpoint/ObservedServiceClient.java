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
 * Sends requests to plain services through another client and reports the services' successes and
 * failures to an observer.
 *
 * @param delegate The client that sends the requests.
 * @param observer Notified of responses and of failures caused by a service.
 * @param clock Supplies the current time in milliseconds.
 */
public record ObservedServiceClient(
        ServiceClient delegate, MembershipObserver observer, LongSupplier clock)
        implements ServiceClient {

    @Override
    public CompletableFuture<ServiceResponse> execute(
            Endpoint service, ServiceRequest request, LongPredicate mayWrite) {
        return delegate.execute(service, request, mayWrite)
                .whenComplete(
                        (response, failure) -> {
                            if (response != null) {
                                observer.endpointSucceeded(service.identity(), clock.getAsLong());
                            } else if (failure instanceof RequestFailureException requestFailure
                                    && EndpointProtocol.isEndpointFault(requestFailure)) {
                                observer.endpointFailed(service.identity(), clock.getAsLong());
                            }
                        });
    }
}
