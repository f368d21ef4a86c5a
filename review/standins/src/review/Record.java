package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** What was sent, answered and run in a case, with seconds since its start; also printed. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    synchronized void line(String format, Object... values) {
        String text = String.format("%8.3f  ", (System.nanoTime() - startedAt) / 1e9) + String.format(format, values);
        out.println(text);
        out.flush();
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
