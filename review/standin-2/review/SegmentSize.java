package review;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Field;
import java.nio.channels.SocketChannel;
import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAccess;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Sets the largest segment that a caller's socket takes, so that a loopback connection is buffered
 * like one over Ethernet. Segments of 64 kB make the operating system buffer megabytes.
 */
final class SegmentSize {

    static final int ETHERNET_BYTES = 1_460;

    private static final int IPPROTO_TCP = 6;

    private static final int TCP_MAXSEG = 2;

    private SegmentSize() {}

    /** Sets the socket option TCP_MAXSEG of a channel that is not connected yet. */
    static void set(SocketChannel channel, int bytes) throws IOException {
        try (ResourceScope scope = ResourceScope.newConfinedScope()) {
            Field descriptor = channel.getClass().getDeclaredField("fdVal");
            descriptor.setAccessible(true);
            MethodHandle setsockopt =
                    CLinker.getInstance()
                            .downcallHandle(
                                    CLinker.systemLookup().lookup("setsockopt").orElseThrow(),
                                    MethodType.methodType(
                                            int.class,
                                            int.class,
                                            int.class,
                                            int.class,
                                            MemoryAddress.class,
                                            int.class),
                                    FunctionDescriptor.of(
                                            CLinker.C_INT,
                                            CLinker.C_INT,
                                            CLinker.C_INT,
                                            CLinker.C_INT,
                                            CLinker.C_POINTER,
                                            CLinker.C_INT));
            MemorySegment value = MemorySegment.allocateNative(CLinker.C_INT, scope);
            MemoryAccess.setInt(value, bytes);
            int result =
                    (int)
                            setsockopt.invokeExact(
                                    descriptor.getInt(channel),
                                    IPPROTO_TCP,
                                    TCP_MAXSEG,
                                    value.address(),
                                    Integer.BYTES);
            if (result != 0) {
                throw new IOException("TCP_MAXSEG cannot be set");
            }
        } catch (IOException exception) {
            throw exception;
        } catch (Throwable exception) {
            throw new IOException(exception);
        }
    }
}
