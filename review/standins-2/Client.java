import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Stand-in for a client with one connection. */
final class Client implements AutoCloseable {
    /** What a client sees of an answer. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        /** Whether the answer ended as its framing says. */
        boolean complete;
        String end = "";

        @Override
        public String toString() {
            return "status=" + status + " body=" + body.length + " bytes complete=" + complete
                + (end.isEmpty() ? "" : " (" + end + ")");
        }
    }

    final Socket socket = new Socket();

    Client(String address) throws IOException {
        String[] parts = address.split(":");
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
    }

    void send(String method, String path, String id, int deadlineMillis, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n"
            + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    /** Reads an answer for at most [timeoutMillis]. */
    Answer receive(int timeoutMillis) {
        Answer answer = new Answer();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            socket.setSoTimeout(timeoutMillis);
            InputStream input = socket.getInputStream();
            String statusLine = readLine(input);
            answer.status = Integer.parseInt(statusLine.split(" ")[1]);
            for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
                String[] field = line.split(":", 2);
                answer.headers.put(field[0].toLowerCase(Locale.ROOT), field[1].trim());
            }
            if (answer.headers.containsKey("content-length")) {
                int length = Integer.parseInt(answer.headers.get("content-length"));
                readExactly(input, length, body);
                answer.complete = true;
            } else if ("chunked".equals(answer.headers.get("transfer-encoding"))) {
                while (true) {
                    int length = Integer.parseInt(readLine(input).trim(), 16);
                    readExactly(input, length, body);
                    readLine(input);
                    if (length == 0) break;
                }
                answer.complete = true;
            } else {
                int next;
                while ((next = input.read()) >= 0) body.write(next);
                answer.complete = true;
            }
        } catch (Exception failure) {
            answer.end = failure.toString();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    private static void readExactly(InputStream input, int length, ByteArrayOutputStream body) throws IOException {
        byte[] buffer = new byte[16384];
        int left = length;
        while (left > 0) {
            int count = input.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new IOException("connection closed inside the body");
            body.write(buffer, 0, count);
            left -= count;
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) throw new IOException("connection closed");
            if (next == '\n') return line.toString().replace("\r", "");
            line.append((char) next);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
