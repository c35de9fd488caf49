package io.chicorytrestle.gateway.operations;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against logging that blocks callers when the reader of the output stops reading. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AsyncLineWriterTest {

    @Test
    void testOfferWhenOutputBlocks() {
        CountDownLatch outputUnblocked = new CountDownLatch(1);
        AsyncLineWriter writer =
                new AsyncLineWriter(
                        new OutputStream() {
                            @Override
                            public void write(int value) throws IOException {
                                try {
                                    outputUnblocked.await();
                                } catch (InterruptedException exception) {
                                    throw new IOException(exception);
                                }
                            }
                        });
        byte[] line = {'x', '\n'};

        boolean isFull = false;
        for (int count = 0; count < 10_000; count++) {
            isFull |= !writer.offer(line);
        }

        assertThat(isFull, is(true));
        assertThat(writer.droppedLines(), greaterThan(7_000L));
        outputUnblocked.countDown();
    }
}
