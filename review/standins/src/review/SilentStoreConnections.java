package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections to the store go silent; a target that leaves later goes on getting bookings, and ends. */
final class SilentStoreConnections {
    private static final int STABLE_WINDOW_MILLIS = 4000;
    private static final int DRAIN_MILLIS = 2500;
    private static final int CALLERS = 6;

    public static void main(String[] args) throws Exception {
        Case.main(args, (folder, record, withTrouble) -> {
            String first = Case.host(41);
            String second = Case.host(42);
            String seeds = first + ":8382," + second + ":8382";
            AtomicInteger late = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            try (Store store = new Store("127.0.0.1")) {
                store.put("config", "main", Configs.plain(3));
                Target leaving = new Target("i-leaving", "127.0.0.1", Target.sound(312, 400));
                Target staying = new Target("i-staying", "127.0.0.1", Target.sound(312, 400));
                store.put("servers", "i-leaving", leaving.entry("beta", "nbo-a", 3, "ready"));
                store.put("servers", "i-staying", staying.entry("beta", "nbo-b", 3, "ready"));
                try (Gateway one = new Gateway(folder, "vm-1", first, "nbo-a", store.address(), seeds);
                     Gateway two = new Gateway(folder, "vm-2", second, "nbo-b", store.address(), seeds)) {
                    Case.require(one.awaitReady(30) && two.awaitReady(30), "the VMs are not ready");
                    AtomicBoolean isOver = new AtomicBoolean();
                    long[] drainedAt = new long[1];
                    List<Thread> threads = new ArrayList<>();
                    for (int i = 0; i < CALLERS; i++) {
                        int number = i;
                        threads.add(Threads.start("caller-" + i, () -> {
                            for (int turn = 0; !isOver.get(); turn++) {
                                String id = "b" + number + "-" + turn;
                                try (Caller caller = new Caller(number % 2 == 0 ? first : second)) {
                                    long sentAt = System.nanoTime();
                                    Caller.Outcome outcome = caller.send("POST", "/once/book", id, 1500,
                                        "booking".getBytes(StandardCharsets.UTF_8), "");
                                    boolean ranAtLeaving = leaving.runs.contains(id);
                                    record.line("%s to vm-%d: %s%s", id, number % 2 + 1, outcome,
                                        ranAtLeaving ? ", ran at i-leaving" : "");
                                    long drained = drainedAt[0];
                                    if (ranAtLeaving && drained != 0
                                        && sentAt - drained > DRAIN_MILLIS * 1_000_000L) {
                                        late.incrementAndGet();
                                        if (outcome.answer() == null || outcome.answer().status() != 200) lost.incrementAndGet();
                                    }
                                } catch (java.io.IOException refused) {
                                    record.line("%s: no connection", id);
                                }
                                Thread.sleep(50);
                            }
                        }));
                    }
                    Thread.sleep(3000);
                    // An ordinary change; all watches of the VMs begin anew with it.
                    Target joining = new Target("i-joining", "127.0.0.1", Target.sound(240, 1500));
                    store.put("servers", "i-joining", joining.entry("alpha", "nbo-a", 5, "ready"));
                    record.line("a target of another service joins");
                    Thread.sleep(1500);
                    if (withTrouble) {
                        store.silenceOpenConnections();
                        record.line("the open connections to the store go silent; new ones work");
                    }
                    Thread.sleep(STABLE_WINDOW_MILLIS + 300);
                    store.put("servers", "i-leaving", leaving.entry("beta", "nbo-a", 3, "draining"));
                    drainedAt[0] = System.nanoTime();
                    record.line("i-leaving reports that it drains, and the store confirms it");
                    Thread.sleep(DRAIN_MILLIS + 1000);
                    leaving.end();
                    store.remove("servers", "i-leaving");
                    record.line("i-leaving has ended");
                    Thread.sleep(4000);
                    isOver.set(true);
                    for (Thread thread : threads) thread.join(3000);
                }
            }
            record.line("%d requests reached i-leaving later than the drain time after the confirmation; %d of them got no success",
                late.get(), lost.get());
            return late.get() == 0;
        });
    }
}
