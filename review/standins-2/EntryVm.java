import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Process of the entry VM, started with the `run` line of the deploy file, and its settings file. */
final class EntryVm {
    final String host;
    final String name;
    final int[] ports = new int[4];
    final int peerPort;
    final Path settings;
    final Path log;
    Process process;
    private final String text;

    EntryVm(Path folder, String name, String host, String zone, int peerPort, String store) throws IOException {
        this.host = host;
        this.name = name;
        this.peerPort = peerPort;
        for (int index = 0; index < ports.length; index++) ports[index] = freePort(host);
        settings = folder.resolve(name + ".conf");
        log = folder.resolve(name + ".log");
        text = """
            self.node_name=%1$s
            self.role=entry
            self.machine_class=front
            self.serves=front,control,directory
            self.ip=%2$s
            self.zone=%3$s
            self.region=north
            self.counts_as_loss=false
            self.bootstrap=true
            self.limits.cpu_share=0.6
            self.limits.cpu_cores=1
            self.limits.memory_mb=430
            self.limits.max_fds=4100
            network.listen.front=%2$s:%4$d
            network.listen.readiness=%2$s:%5$d
            network.listen.control_plane=%2$s:%6$d
            network.listen.directory=%2$s:%7$d
            network.internal_ports=%8$d,%8$d
            network.seeds=%10$s
            network.zones.north-a=north
            network.zones.north-b=north
            platform.discovery=platform
            platform.entry_mode=directory
            platform.heartbeat=1500ms
            platform.platform.address=%9$s
            platform.platform.form=objects
            platform.platform.writes_per_s=400
            platform.platform.reads_per_s=2000
            platform.platform.history=20s
            platform.platform.value_bytes=1048576
            platform.platform.ttl_min=1000ms
            terms.contracts=base,drain,config,cost,retry,recover,places,platform
            terms.bounds.addr_reuse=2s
            terms.bounds.stable_window=3000ms
            terms.bounds.drain=2500ms
            terms.bounds.grace=6s
            terms.bounds.loss_slack=200ms
            terms.bounds.config_apply=2500ms
            terms.bounds.rollback_slack=250ms
            terms.bounds.retry_budget_ratio=0.2
            terms.bounds.budget_window=10s
            terms.bounds.budget_slack=56
            terms.bounds.cold_overshoot=1.5
            terms.bounds.cold_slack=5
            terms.bounds.evac=5000ms
            terms.bounds.ttl_max=5s
            terms.bounds.max_shift=0.15
            """.formatted(name, host, zone, ports[0], ports[1], ports[2], ports[3], peerPort, store, host + ":" + ports[2]);
        Files.writeString(settings, text);
    }

    /** Address for requests of clients. */
    String front() {
        return host + ":" + ports[0];
    }

    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run")).findFirst().orElseThrow();
        List<String> words = new ArrayList<>(Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("ANVILSHED_NODE_FILE", settings.toAbsolutePath().toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
    }

    /** Waits until the process answers that it is ready. */
    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end) {
            if (isReady()) return;
            Thread.sleep(100);
        }
        throw new IllegalStateException(name + " is not ready");
    }

    boolean isReady() {
        try {
            HttpURLConnection call =
                (HttpURLConnection) new URL("http://" + host + ":" + ports[1] + "/api/readiness").openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            return call.getResponseCode() == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }
}
