package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A VM is cut off from the store several times while configs change. Long after the last cut, another VM is cut off; a route
 * moves and a target leaves meanwhile. The first VM, which reaches the store, hears of neither.
 */
final class CutsFromTheStore {
    private static final int CUT_MILLIS = 5500;
    private static final int CHANGE_GAP_MILLIS = 210;
    private static final int ROUNDS = 6;
    private static final int CALM_MILLIS = 14_000;
    private static final int CONFIG_APPLY_MILLIS = 2500;
    private static final int DRAIN_MILLIS = 2500;
    private static final int CALLERS = 6;

    public static void main(String[] args) throws Exception {
        Case.main(args, (folder, record, withTrouble) -> {
            String[] hosts = {Case.host(51), Case.host(52)};
            String seeds = hosts[0] + ":8382," + hosts[1] + ":8382";
            AtomicInteger byOldService = new AtomicInteger();
            AtomicInteger late = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            try (Store store = new Store("127.0.0.1")) {
                store.put("config", "main", Configs.plain(3));
                Target leaving = new Target("i-leaving", "127.0.0.1", Target.sound(312, 400));
                Target staying = new Target("i-staying", "127.0.0.1", Target.sound(312, 400));
                Target oldTarget = new Target("i-old", "127.0.0.1", Target.sound(240, 1500));
                Target newTarget = new Target("i-new", "127.0.0.1", Target.sound(240, 1500));
                store.put("servers", "i-old", oldTarget.entry("alpha", "nbo-a", 5, "ready"));
                store.put("servers", "i-new", newTarget.entry("gamma", "nbo-a", 5, "ready"));
                store.put("servers", "i-leaving", leaving.entry("beta", "nbo-a", 3, "ready"));
                store.put("servers", "i-staying", staying.entry("beta", "nbo-b", 3, "ready"));
                Proxy[] links = {new Proxy(store.address()), new Proxy(store.address())};
                try (Gateway one = new Gateway(folder, "vm-1", hosts[0], "nbo-a", links[0].address(), seeds);
                     Gateway two = new Gateway(folder, "vm-2", hosts[1], "nbo-b", links[1].address(), seeds)) {
                    Case.require(one.awaitReady(30) && two.awaitReady(30), "the VMs are not ready");
                    Thread.sleep(2000);
                    int version = 10;
                    for (int round = 0; round < ROUNDS; round++) {
                        if (withTrouble) {
                            links[0].cut();
                            record.line("vm-1 is cut off from the store");
                        }
                        for (int spent = 0; spent < CUT_MILLIS; spent += CHANGE_GAP_MILLIS) {
                            store.put("config", "main", Configs.plain(version += 3));
                            Thread.sleep(CHANGE_GAP_MILLIS);
                        }
                        if (withTrouble) {
                            links[0].heal();
                            record.line("vm-1 reaches the store again");
                        }
                        Thread.sleep(500);
                    }
                    Thread.sleep(CALM_MILLIS);
                    AtomicBoolean isOver = new AtomicBoolean();
                    long[] drainedAt = new long[1];
                    long[] movedAt = new long[1];
                    List<Thread> threads = new ArrayList<>();
                    for (int i = 0; i < CALLERS; i++) {
                        int number = i;
                        threads.add(Threads.start("caller-" + i, () -> {
                            for (int turn = 0; !isOver.get(); turn++) {
                                String id = "b" + number + "-" + turn;
                                boolean isBooking = number % 2 == 0;
                                try (Caller caller = new Caller(hosts[0])) {
                                    long sentAt = System.nanoTime();
                                    Caller.Outcome outcome = isBooking
                                        ? caller.send("POST", "/once/book", id, 1500, "booking".getBytes(StandardCharsets.UTF_8), "")
                                        : caller.get("/safe/history", id, 1200);
                                    boolean ranAtLeaving = leaving.runs.contains(id);
                                    boolean ranAtOld = oldTarget.runs.contains(id);
                                    record.line("%s to vm-1: %s%s%s", id, outcome, ranAtLeaving ? ", ran at i-leaving" : "",
                                        ranAtOld ? ", ran at i-old" : "");
                                    if (ranAtOld && movedAt[0] != 0 && sentAt - movedAt[0] > CONFIG_APPLY_MILLIS * 1_000_000L) {
                                        byOldService.incrementAndGet();
                                    }
                                    if (ranAtLeaving && drainedAt[0] != 0 && sentAt - drainedAt[0] > DRAIN_MILLIS * 1_000_000L) {
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
                    Thread.sleep(2000);
                    int watchesBefore = store.watches;
                    if (withTrouble) {
                        links[1].cut();
                        record.line("vm-2 is cut off from the store");
                    }
                    store.put("config", "main", Configs.plain(version + 3, "gamma"));
                    movedAt[0] = System.nanoTime();
                    record.line("the operator moves the safe route from alpha to gamma, and the store confirms it");
                    store.put("servers", "i-leaving", leaving.entry("beta", "nbo-a", 3, "draining"));
                    drainedAt[0] = System.nanoTime();
                    record.line("i-leaving reports that it drains, and the store confirms it");
                    Thread.sleep(DRAIN_MILLIS + 1500);
                    leaving.end();
                    store.remove("servers", "i-leaving");
                    record.line("i-leaving has ended");
                    Thread.sleep(CUT_MILLIS - DRAIN_MILLIS - 1500);
                    record.line("watches that the store got since the confirmation: %d", store.watches - watchesBefore);
                    if (withTrouble) {
                        links[1].heal();
                        record.line("vm-2 reaches the store again");
                    }
                    Thread.sleep(3000);
                    isOver.set(true);
                    for (Thread thread : threads) thread.join(3000);
                }
            }
            record.line("CONFIG: %d requests that vm-1 got later than config_apply after the confirmation were run by the old service",
                byOldService.get());
            record.line("beside it: %d bookings reached i-leaving later than the drain time; %d of them got no success",
                late.get(), lost.get());
            return byOldService.get() == 0;
        });
    }
}
