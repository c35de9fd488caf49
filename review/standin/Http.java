import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from blocking sockets. */
final class Http {

    private Http() {}

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // Nothing is left to do for this connection.
        }
    }

    /** Reads a message with its body, or returns null at the end of the connection. */
    static Message read(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message != null) {
            message.body = readBody(input, message);
        }
        return message;
    }

    /** Reads a head, or returns null at the end of the connection. */
    static Message readHead(InputStream input) throws IOException {
        String startLine = readLine(input);
        if (startLine == null) {
            return null;
        }
        Message message = new Message(startLine);
        while (true) {
            String line = readLine(input);
            if (line == null) {
                throw new EOFException("connection ended in a head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
    }

    private static byte[] readBody(InputStream input, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            while (true) {
                String line = readLine(input);
                if (line == null) {
                    throw new EOFException("connection ended before a chunk");
                }
                int size = Integer.parseInt(line.strip(), 16);
                readInto(body, input, size);
                readLine(input);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
        readInto(body, input, length);
        return body.toByteArray();
    }

    private static void readInto(ByteArrayOutputStream body, InputStream input, int length)
            throws IOException {
        byte[] bytes = input.readNBytes(length);
        body.writeBytes(bytes);
        if (bytes.length < length) {
            throw new EOFException(
                    "connection ended after " + body.size() + " bytes of the body");
        }
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended in a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** A request or a response. */
    static final class Message {

        final String startLine;

        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        byte[] body = new byte[0];

        private Message(String startLine) {
            this.startLine = startLine;
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }
}
