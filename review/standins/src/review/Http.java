package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 message framing that the stand-ins share. */
final class Http {
    /** A request or a response: its first line, its headers in lower case, and its whole body. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        /** Path of a request, or status of a response. */
        String second() {
            String[] parts = start.split(" ");
            return parts.length > 1 ? parts[1] : "";
        }

        int status() {
            try {
                return Integer.parseInt(second());
            } catch (NumberFormatException fault) {
                return -1;
            }
        }
    }

    private Http() {
    }

    /** Reads a line without its end; returns null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("stream ended inside a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a first line and headers; returns null if the stream ends before the first byte. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("stream ended inside a head");
            if (line.isEmpty()) return new Message(start, headers, new byte[0]);
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("malformed header: " + line);
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body that belongs to [head]; a response without a length ends with its connection. */
    static Message readBody(Message head, InputStream in, boolean isResponse) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = head.header("content-length");
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("stream ended before a chunk");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                if (size == 0) break;
                copy(in, body, size);
                readLine(in);
            }
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("stream ended before the last chunk");
                if (line.isEmpty()) break;
            }
        } else if (length != null) {
            copy(in, body, Integer.parseInt(length));
        } else if (isResponse) {
            in.transferTo(body);
        }
        return new Message(head.start(), head.headers(), body.toByteArray());
    }

    static Message readMessage(InputStream in, boolean isResponse) throws IOException {
        Message head = readHead(in);
        return head == null ? null : readBody(head, in, isResponse);
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("stream ended after " + bytes.length + " of " + count + " bytes");
        out.write(bytes);
    }
}
