package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Stand-in for a client: one connection that carries requests one after the other. */
final class Caller implements AutoCloseable {
    /** Outcome of a request: its answer, or how the connection ended without a complete one. */
    record Outcome(Http.Message answer, String failure, long millis) {
        @Override
        public String toString() {
            if (answer == null) return failure + " after " + millis + " ms";
            return answer.start() + " stamp=" + answer.header("X-Server-Stamp") + " bytes=" + answer.body().length
                + " after " + millis + " ms";
        }
    }

    private final Socket socket = new Socket();

    Caller(String host) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, 8381), 1000);
    }

    /** Sends a request and waits for its whole answer, at most [deadlineMillis] and half a second. */
    Outcome send(String method, String path, String id, int deadlineMillis, byte[] body, String headers) {
        long start = System.nanoTime();
        try {
            socket.setSoTimeout(deadlineMillis + 500);
            String length = method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
            String head = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + length + headers + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            Http.Message answer = Http.readMessage(socket.getInputStream(), true);
            return new Outcome(answer, answer == null ? "closed without an answer" : null, millis(start));
        } catch (SocketTimeoutException late) {
            return new Outcome(null, "no answer", millis(start));
        } catch (IOException fault) {
            return new Outcome(null, "connection failed (" + fault.getMessage() + ")", millis(start));
        }
    }

    Outcome get(String path, String id, int deadlineMillis) {
        return send("GET", path, id, deadlineMillis, new byte[0], "");
    }

    private static long millis(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
