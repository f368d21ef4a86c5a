import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer stores a copy of an upstream's entry under a name that can't be read. */
final class ForgedEntry extends Trial {
    private static final int CLIENTS = 16;
    private static final int REQUESTS_EACH = 40;
    private static final int TIMEOUT_MILLIS = 1000;
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    ForgedEntry(String[] arguments) throws Exception {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new ForgedEntry(arguments).run();
    }

    @Override
    boolean isBroken() throws Exception {
        Store store = new Store("127.66.1.1");
        store.put("config", "main", config(7, "15000ms", route("loan", "/loan/", "non_idempotent", "1000ms", 2)));
        List<Upstream> upstreams = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            upstreams.add(new Upstream(store, "i-" + index, "books", "north-a", 4, "127.66.1.2", 0, (request, socket) -> {
                request.readBody();
                Thread.sleep(60);
                Upstream.write(socket, Upstream.head(request, 2) + "ok");
                return true;
            }));
        }
        EntryVm vm =
            new EntryVm(temporary, "front-1", "127.66.1.3", "north-a", EntryVm.freePort("127.66.1.3"), store.address());
        vm.start();
        vm.awaitReady();
        Thread.sleep(1000);
        if (trouble) {
            // The name is i-0 and the character U+0000, which JSON writes as an escape.
            store.put("servers", "i-0\\u0000", upstreams.get(0).spec());
            record.add("another writer: an entry whose name has a byte that can't be read, otherwise a copy of i-0's");
        }
        Thread.sleep(STABLE_WINDOW_MILLIS + 500);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            String name = "client-" + number;
            clients.add(new Thread(() -> requests(vm, name)));
        }
        for (Thread client : clients) client.start();
        for (Thread client : clients) client.join();
        record.add("%d requests of %d were unanswered %d ms after they were sent, %d of them half a second later",
            late.get(), CLIENTS * REQUESTS_EACH, TIMEOUT_MILLIS, unanswered.get());
        return unanswered.get() * 2 > late.get();
    }

    private void requests(EntryVm vm, String name) {
        for (int index = 0; index < REQUESTS_EACH; index++) {
            String id = name + "-" + index;
            try (Client client = new Client(vm.front())) {
                long sentAt = System.nanoTime();
                client.send("POST", "/loan/" + id, id, 1800, new byte[50]);
                Client.Answer answer = client.receive(1800);
                long millis = (System.nanoTime() - sentAt) / 1_000_000;
                if (millis > TIMEOUT_MILLIS) late.incrementAndGet();
                if (millis > TIMEOUT_MILLIS + 500) {
                    unanswered.incrementAndGet();
                    record.add("client: %s has no answer after %d ms: %s", id, millis, answer);
                }
            } catch (Exception failure) {
                record.add("client: %s failed: %s", id, failure);
            }
        }
    }
}
