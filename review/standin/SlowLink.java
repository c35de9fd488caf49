import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A link to the store that carries answers late while it is harmed. */
final class SlowLink implements AutoCloseable {

    private final String target;

    private final ServerSocket listener;

    private volatile long delayMillis;

    SlowLink(Fleet fleet, String target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 200, InetAddress.getByName(fleet.newHost()));
        Http.daemon(this::acceptAll);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Sets how much later answers arrive. */
    void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket();
                String[] parts = target.split(":");
                far.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
                Http.daemon(() -> copy(near, far, false));
                Http.daemon(() -> copy(far, near, true));
            }
        } catch (IOException exception) {
            // The listener was closed at the end of the case.
        }
    }

    private void copy(Socket from, Socket to, boolean isAnswer) {
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] bytes = new byte[65_536];
            for (int size = input.read(bytes); size > 0; size = input.read(bytes)) {
                if (isAnswer) {
                    Thread.sleep(delayMillis);
                }
                output.write(bytes, 0, size);
            }
        } catch (IOException | InterruptedException exception) {
            // One side has closed the connection.
        }
        Http.close(from);
        Http.close(to);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
