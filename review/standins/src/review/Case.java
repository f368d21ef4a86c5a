package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Frame of a case: its record, its temporary folder, and its exit status. */
final class Case {
    /** Plays the case; returns whether the rule held. */
    interface Play {
        boolean run(Path folder, Record record, boolean withTrouble) throws Exception;
    }

    /** The case could not be played, which says nothing about the rule. */
    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }

    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 2;

    private Case() {
    }

    /** Plays a case whose record goes to the file that is the first of [args], and exits. */
    static void main(String[] args, Play play) throws IOException {
        Path folder = Files.createTempDirectory("review-case");
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Record record = new Record(Path.of(args[0]))) {
            record.line("%s the disruption", withTrouble ? "with" : "without");
            try {
                boolean held = play.run(folder, record, withTrouble);
                record.line("the rule %s", held ? "held" : "was broken");
                status = held ? HELD : BROKEN;
            } catch (Exception | Error fault) {
                record.line("the case could not run: %s", fault);
                status = NOT_RUN;
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (System.getenv("KEEP") == null) Files.delete(file);
            }
        }
        System.exit(status);
    }

    /** Loopback address [number]; plays at the same time need a LOOPBACK each. */
    static String host(int number) {
        String network = System.getenv("LOOPBACK");
        return "127.0." + (network == null ? "0" : network) + "." + number;
    }

    static void require(boolean holds, String message) throws CannotRun {
        if (!holds) throw new CannotRun(message);
    }
}
