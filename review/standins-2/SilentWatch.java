import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Connections to the store go silent while the upstreams of a service are replaced; then the config changes. */
final class SilentWatch extends Trial {
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final long CONFIG_APPLY_MILLIS = 2500;
    private final ConcurrentHashMap<String, String> runBy = new ConcurrentHashMap<>();
    private Store store;
    private int upstreamCount;

    SilentWatch(String[] arguments) throws Exception {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new SilentWatch(arguments).run();
    }

    private String loanConfig(int version, String service, String timeout) {
        return Trial.config(version, "15000ms", route("loan", "/loan/", "non_idempotent", timeout, 1)
            .replace("\"service\":\"books\"", "\"service\":\"" + service + "\""))
            .replace("\"services\":[", "\"services\":[{\"name\":\"loans\",\"health_path\":\"/health\",\"max_conns\":330,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"0s\",\"cold_per_s\":7.6},");
    }

    private Upstream upstream(String service, String zone) throws Exception {
        return new Upstream(store, "i-" + ++upstreamCount, service, zone, 8, "127.65.1.2", 0, (request, socket) -> {
            request.readBody();
            runBy.put(request.id(), service);
            Upstream.write(socket, Upstream.head(request, 2) + "ok");
            return true;
        });
    }

    @Override
    boolean isBroken() throws Exception {
        store = new Store("127.65.1.1");
        Proxy proxy = new Proxy("127.65.1.4", store.address());
        store.put("config", "main", loanConfig(7, "books", "800ms"));
        for (String zone : List.of("north-a", "north-b")) {
            for (int index = 0; index < 2; index++) upstream("loans", zone);
        }
        int peerPort = EntryVm.freePort("127.65.1.5");
        List<EntryVm> vms = new ArrayList<>();
        vms.add(new EntryVm(temporary, "front-1", "127.65.1.5", "north-a", peerPort, proxy.address()));
        vms.add(new EntryVm(temporary, "front-2", "127.65.1.6", "north-b", peerPort, proxy.address()));
        for (EntryVm vm : vms) vm.start();
        AtomicBoolean releases = new AtomicBoolean(true);
        Upstream.daemon(() -> {
            List<Upstream> present = new ArrayList<>();
            for (int index = 0; index < 4; index++) present.add(upstream("books", index % 2 == 0 ? "north-a" : "north-b"));
            Thread.sleep(5000);
            record.add("operator: a release of 'books' begins, one upstream each second");
            while (releases.get()) {
                Upstream old = present.remove(0);
                present.add(upstream("books", present.size() % 2 == 0 ? "north-a" : "north-b"));
                Upstream.daemon(() -> {
                    Thread.sleep(600);
                    old.state = "draining";
                    old.register();
                    Thread.sleep(2700);
                    old.registers = false;
                    store.delete("servers", old.id);
                });
                Thread.sleep(1000);
            }
        });
        for (EntryVm vm : vms) vm.awaitReady();
        Thread.sleep(6000);
        store.put("config", "main", loanConfig(8, "books", "900ms"));
        record.add("operator: r8 is confirmed (another timeout)");
        Thread.sleep(800);
        int silenced = 0;
        for (Proxy.Connection connection : proxy.connections) {
            boolean watchesConfig = connection.latestRequest.startsWith("GET /api/objects/config?watch=");
            if (!connection.isOpen() || !connection.isWaiting || !watchesConfig) continue;
            silenced++;
            if (trouble) connection.silent = true;
        }
        record.add("network: %d connections to the store %s", silenced, trouble ? "go silent" : "could have gone silent");
        if (silenced != vms.size()) throw new IllegalStateException("found " + silenced + " watches of the config");
        Thread.sleep(STABLE_WINDOW_MILLIS + 200);
        store.put("config", "main", loanConfig(9, "loans", "900ms"));
        long confirmedAt = System.nanoTime();
        record.add("operator: r9 is confirmed: '/loan/' goes to 'loans' instead of 'books'");
        int late = 0;
        int requests = 0;
        for (int index = 0; index < 80; index++) {
            for (EntryVm vm : vms) {
                String id = vm.name + "-" + index;
                long sentAfter = (System.nanoTime() - confirmedAt) / 1_000_000;
                try (Client client = new Client(vm.front())) {
                    client.send("POST", "/loan/" + index, id, 900, new byte[100]);
                    Client.Answer answer = client.receive(2000);
                    boolean isLate = sentAfter > CONFIG_APPLY_MILLIS;
                    boolean isOld = "books".equals(runBy.get(id));
                    record.add("client: %s sent %d ms after r9, run by %s, %s", id, sentAfter, runBy.get(id), answer);
                    if (isLate) requests++;
                    if (isLate && isOld) late++;
                }
            }
            Thread.sleep(100);
        }
        releases.set(false);
        record.add("of %d requests sent later than %d ms after r9, %d were run by the old service", requests,
            CONFIG_APPLY_MILLIS, late);
        return late > 0;
    }
}
