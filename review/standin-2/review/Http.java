package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A small HTTP/1.1 server with one thread for each connection, and the parsing that it needs. */
final class Http {

    private Http() {}

    /** The head of a message; names of headers in lower case. */
    record Head(String startLine, List<String[]> headers) {

        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equals(name.toLowerCase(Locale.ROOT))) {
                    return header[1];
                }
            }
            return null;
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** Reads a head, or returns null if the connection ends before it. */
    static Head readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("connection ended inside a head");
            }
            if (line.isEmpty()) {
                return new Head(startLine, headers);
            }
            int colon = line.indexOf(':');
            headers.add(
                    new String[] {
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip()
                    });
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended inside a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the body of a request, by its length or in chunks. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.writeBytes(readFully(in, size));
                readLine(in);
            }
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                // Trailers are of no use here.
            }
        } else if (head.header("content-length") != null) {
            body.writeBytes(readFully(in, Integer.parseInt(head.header("content-length"))));
        }
        return body.toByteArray();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("connection ended before a chunk");
        }
        return Integer.parseInt(line.split(";")[0].strip(), 16);
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("connection ended inside a body");
        }
        return bytes;
    }

    /** Answers one request; returns false to end the connection. */
    interface Handler {

        boolean handle(Head head, byte[] body, Socket socket) throws Exception;
    }

    /** Accepts connections on one address. */
    static final class Server implements Closeable {

        private final ServerSocket listening;

        private final Handler handler;

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
            start(this::accept);
        }

        String address() {
            return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
        }

        private void accept() {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Head head = readHead(in); head != null; head = readHead(in)) {
                    if (!handler.handle(head, readBody(head, in), socket)) {
                        return;
                    }
                }
            } catch (Exception exception) {
                // The peer has closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    /** Starts a thread that does not keep the program alive. */
    static Thread start(Runnable action) {
        Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
