package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {
    final String host;
    final Path log;
    private final Path settings;
    private Process process;

    /** Starts the process on loopback address [host] with [seeds] as its peers. */
    Gateway(Path folder, String name, String host, String zone, String store, String seeds) throws IOException {
        this.host = host;
        log = folder.resolve(name + ".log");
        settings = folder.resolve(name + ".conf");
        Files.writeString(settings, String.join("\n",
            "self.node_name=" + name, "self.role=entry", "self.machine_class=front",
            "self.serves=front,directory,control", "self.ip=" + host, "self.zone=" + zone, "self.region=nbo",
            "self.counts_as_loss=false", "self.bootstrap=true", "self.limits.cpu_share=0.6",
            "self.limits.memory_mb=430", "self.limits.max_fds=4100",
            "network.listen.front=" + host + ":8381", "network.listen.readiness=" + host + ":8388",
            "network.listen.control_plane=" + host + ":8382", "network.listen.directory=" + host + ":8383",
            "network.internal_ports=7200,7215", "network.seeds=" + seeds,
            "network.zones.nbo-a=nbo", "network.zones.nbo-b=nbo",
            "platform.discovery=platform", "platform.entry_mode=directory", "platform.heartbeat=1500ms",
            "platform.platform.address=" + store, "platform.platform.form=objects",
            "platform.platform.writes_per_s=400", "platform.platform.reads_per_s=2000",
            "terms.bounds.stable_window=4000ms", "terms.bounds.drain=2500ms", "terms.bounds.grace=6s",
            "terms.bounds.loss_slack=200ms", "terms.bounds.config_apply=2500ms",
            "terms.bounds.retry_budget_ratio=0.2", "terms.bounds.budget_window=10s", "terms.bounds.budget_slack=56",
            "terms.bounds.cold_overshoot=1.5", "terms.bounds.cold_slack=5", "terms.bounds.evac=5000ms",
            "terms.bounds.recovery=15s", "terms.bounds.ttl_max=5s", "terms.bounds.max_shift=0.15", ""));
        start();
    }

    /** Starts the process, also again after its end. */
    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream().filter(it -> it.startsWith("run = "))
            .findFirst().orElseThrow().replaceFirst("run = \"(.*)\"", "$1");
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(Arrays.asList(run.split(" "))));
        builder.environment().put("ANVILSHED_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        // Also ends the process if the case itself is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until the process says that it is ready; returns whether it did in [seconds]. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            if (readiness() == 200) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** Status of the readiness answer, or -1 without one. */
    int readiness() {
        try {
            HttpURLConnection connection =
                (HttpURLConnection) URI.create("http://" + host + ":8388/api/readiness").toURL().openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            return connection.getResponseCode();
        } catch (IOException fault) {
            return -1;
        }
    }

    /** Sends the signal [name] to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder(List.of("kill", "-" + name, Long.toString(process.pid()))).start().waitFor();
    }

    boolean awaitEnd(int millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    boolean isRunning() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
