import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run: one line an event, with seconds since the start. */
final class Record {
    private final PrintWriter file;
    private final long startedAt = System.nanoTime();

    Record(Path folder) throws IOException {
        file = new PrintWriter(folder.resolve("record.txt").toFile());
    }

    synchronized void add(String format, Object... values) {
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        String line = String.format(Locale.ROOT, "%8.3f  ", seconds) + String.format(Locale.ROOT, format, values);
        file.println(line);
        file.flush();
    }

    synchronized void close() {
        file.close();
    }
}
