import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Frame of a case: record, temporary folder, exit code (1: the rule was broken, 0: it held, 2: the case could not run).
 *
 * The environment variable TROUBLE=0 leaves out the disruption.
 */
abstract class Trial {
    private static final long LONGEST_MILLIS = 110_000;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Record record;
    final Path temporary;

    Trial(String[] arguments) throws Exception {
        folder = Path.of(arguments[0]);
        record = new Record(folder);
        temporary = Files.createTempDirectory("review-case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::deleteTemporary));
    }

    /** Plays the case; returns whether the rule was broken. */
    abstract boolean isBroken() throws Exception;

    void run() {
        Upstream.daemon(() -> {
            Thread.sleep(LONGEST_MILLIS);
            record.add("the case takes too long");
            System.exit(2);
        });
        int code = 2;
        try {
            record.add("disruption: %s", trouble ? "yes" : "no");
            boolean broken = isBroken();
            record.add(broken ? "RULE BROKEN" : "rule held");
            code = broken ? 1 : 0;
        } catch (Throwable failure) {
            record.add("the case could not run: %s", failure);
            failure.printStackTrace();
        }
        record.close();
        System.out.println(code == 1 ? "rule broken" : code == 0 ? "rule held" : "could not run");
        System.exit(code);
    }

    private void deleteTemporary() {
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException failure) {
            System.err.println("temporary folder: " + failure);
        }
    }

    /** Config with one service, `books`. */
    static String config(int version, String idleTimeout, String routes) {
        return "{\"version\":\"r" + version + "\",\"routes\":[" + routes
            + "],\"services\":[{\"name\":\"books\",\"health_path\":\"/health\",\"max_conns\":330,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start\":\"0s\",\"cold_per_s\":7.6}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"" + idleTimeout + "\"}}";
    }

    static String route(String name, String prefix, String kind, String timeout, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout\":\"" + timeout + "\",\"latency_goal\":\"1000ms\",\"priority\":1,\"service\":\"books\","
            + "\"max_attempts\":" + attempts + ",\"sticky\":false,\"home_regions\":[]}";
    }
}
