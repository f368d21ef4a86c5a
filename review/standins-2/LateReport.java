import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The answer to an upstream's liveness report is lost, and the store performs the report after a later one. */
final class LateReport extends Trial {
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final long DRAIN_MILLIS = 2500;
    private static final long LATE_MILLIS = 5900;
    private static final int CLIENTS = 6;
    private final ConcurrentHashMap<String, String> runBy = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    LateReport(String[] arguments) throws Exception {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new LateReport(arguments).run();
    }

    private Upstream upstream(Store store, String id) throws Exception {
        return new Upstream(store, id, "books", "north-a", 4, "127.71.1.2", 0, (request, socket) -> {
            request.readBody();
            runBy.put(request.id(), id);
            Thread.sleep(20);
            Upstream.write(socket, Upstream.head(request, 2) + "ok");
            return true;
        });
    }

    @Override
    boolean isBroken() throws Exception {
        Store store = new Store("127.71.1.1");
        store.put("config", "main", config(7, "15000ms", route("loan", "/loan/", "non_idempotent", "1000ms", 1)));
        Upstream leaving = upstream(store, "i-leaving");
        upstream(store, "i-other");
        EntryVm vm =
            new EntryVm(temporary, "front-1", "127.71.1.3", "north-a", EntryVm.freePort("127.71.1.3"), store.address());
        vm.start();
        vm.awaitReady();
        Thread.sleep(4000);
        String report = leaving.spec();
        if (trouble) record.add("store: a liveness report of i-leaving gets no answer: %s", report);
        long lostAt = System.nanoTime();
        Thread.sleep(STABLE_WINDOW_MILLIS + 200);
        leaving.state = "draining";
        leaving.register();
        long confirmedAt = System.nanoTime();
        record.add("store: confirms that i-leaving is draining");
        for (int number = 0; number < CLIENTS; number++) {
            String name = "client-" + number;
            Upstream.daemon(() -> requests(vm, name, confirmedAt));
        }
        Thread.sleep(LATE_MILLIS - (System.nanoTime() - lostAt) / 1_000_000);
        if (trouble) {
            store.put("servers", "i-leaving", report);
            record.add("store: performs the report without an answer, %d ms after it was sent",
                (System.nanoTime() - lostAt) / 1_000_000);
        }
        // The next report, one interval later at the latest, says again that the upstream is draining.
        Thread.sleep(1400);
        leaving.register();
        record.add("store: i-leaving reports again that it is draining");
        Thread.sleep(2000);
        record.add("%d of %d requests reached i-leaving later than %d ms after the confirmation", late.get(), sent.get(), DRAIN_MILLIS);
        return late.get() > 0;
    }

    private void requests(EntryVm vm, String name, long confirmedAt) throws Exception {
        for (int index = 0; true; index++) {
            String id = name + "-" + index;
            long sentAfter = (System.nanoTime() - confirmedAt) / 1_000_000;
            try (Client client = new Client(vm.front())) {
                client.send("POST", "/loan/" + id, id, 1000, new byte[20]);
                Client.Answer answer = client.receive(2000);
                sent.incrementAndGet();
                if ("i-leaving".equals(runBy.get(id)) && sentAfter > DRAIN_MILLIS) {
                    late.incrementAndGet();
                    record.add("client: %s sent %d ms after the confirmation, run by i-leaving, %s", id, sentAfter, answer);
                }
            }
            Thread.sleep(20);
        }
    }
}
