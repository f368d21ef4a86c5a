package review;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A VM that is stopping gets SIGTERM once more while bookings run. */
final class SecondSigterm {
    private static final int CALLERS = 12;
    private static final int WORK_MILLIS = 1080;
    private static final int DEADLINE_MILLIS = 5044;

    public static void main(String[] args) throws Exception {
        Case.main(args, (folder, record, withTrouble) -> {
            String first = Case.host(21);
            String second = Case.host(22);
            String seeds = first + ":8382," + second + ":8382";
            AtomicInteger cut = new AtomicInteger();
            AtomicInteger answered = new AtomicInteger();
            try (Store store = new Store("127.0.0.1")) {
                store.put("config", "main", Configs.plain(3));
                Target target = new Target("i-beta", "127.0.0.1", Target.sound(WORK_MILLIS, 400));
                store.put("servers", "i-beta", target.entry("beta", "nbo-a", 2 * CALLERS, "ready"));
                try (Gateway stopping = new Gateway(folder, "vm-1", first, "nbo-a", store.address(), seeds);
                     Gateway staying = new Gateway(folder, "vm-2", second, "nbo-b", store.address(), seeds)) {
                    Case.require(stopping.awaitReady(30) && staying.awaitReady(30), "the VMs are not ready");
                    AtomicBoolean isStopping = new AtomicBoolean();
                    AtomicBoolean isOver = new AtomicBoolean();
                    List<Thread> threads = new CopyOnWriteArrayList<>();
                    for (int i = 0; i < CALLERS; i++) {
                        int number = i;
                        threads.add(Threads.start("caller-" + i, () -> {
                            Thread.sleep(number * WORK_MILLIS / CALLERS);
                            for (int turn = 0; !isOver.get(); turn++) {
                                String host = isStopping.get() ? second : first;
                                try (Caller caller = new Caller(host)) {
                                    boolean isKept = true;
                                    while (isKept && !isOver.get()) {
                                        String id = "b" + number + "-" + turn++;
                                        Caller.Outcome outcome = caller.send("POST", "/once/book", id, DEADLINE_MILLIS,
                                            "booking".getBytes(StandardCharsets.UTF_8), "");
                                        boolean ran = target.runs.contains(id);
                                        record.line("%s to %s: %s%s", id, host, outcome, ran ? ", ran at " + target.id : "");
                                        answered.incrementAndGet();
                                        if (outcome.answer() == null && ran) cut.incrementAndGet();
                                        isKept = outcome.answer() != null
                                            && !"close".equalsIgnoreCase(outcome.answer().header("Connection"));
                                    }
                                } catch (java.io.IOException refused) {
                                    record.line("no connection to %s", host);
                                }
                            }
                        }));
                    }
                    Thread.sleep(6000);
                    Case.require(answered.get() > CALLERS && cut.get() == 0, "callers are not served before the stop");
                    isStopping.set(true);
                    stopping.signal("TERM");
                    record.line("SIGTERM to vm-1");
                    Thread.sleep(500);
                    if (withTrouble) {
                        stopping.signal("TERM");
                        record.line("SIGTERM to vm-1 once more");
                    }
                    Case.require(stopping.awaitEnd(7000), "vm-1 did not end within its grace period");
                    record.line("vm-1 has ended");
                    Thread.sleep(1500);
                    isOver.set(true);
                    for (Thread thread : threads) thread.join(8000);
                }
            }
            record.line("%d requests; %d that ran ended with a closed connection and no answer", answered.get(), cut.get());
            return cut.get() == 0;
        });
    }
}
