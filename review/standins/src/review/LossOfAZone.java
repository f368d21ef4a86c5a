package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The zone of three of four VMs loses power for some seconds. Their callers, whose messages have about 260 KB each, go to the VM
 * that is left.
 */
final class LossOfAZone {
    private static final int CALLERS_OF_EACH = 60;
    private static final int DARK_MILLIS = 5500;
    private static final int BODY_BYTES = 264_000;
    private static final int ANSWER_BYTES = 250_000;
    private static final int TARGETS_OF_SERVICE = 2;
    private static final int SLOTS = 60;
    private static final int WORK_MILLIS = 300;
    private static final int ROUTE_TIMEOUT_MILLIS = 2000;
    private static final int DEADLINE_MILLIS = 4000;

    public static void main(String[] args) throws Exception {
        Case.main(args, (folder, record, withTrouble) -> {
            String staying = Case.host(81);
            String[] lost = {Case.host(82), Case.host(83), Case.host(84)};
            String seeds = staying + ":8382," + lost[0] + ":8382," + lost[1] + ":8382";
            AtomicInteger answered = new AtomicInteger();
            AtomicInteger atTimeout = new AtomicInteger();
            AtomicInteger unanswered = new AtomicInteger();
            byte[] body = "u".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);
            try (Store store = new Store("127.0.0.1")) {
                store.put("config", "main", Configs.plain(3).replace("\"timeout\":\"5000ms\"",
                    "\"timeout\":\"" + ROUTE_TIMEOUT_MILLIS + "ms\""));
                for (int i = 0; i < TARGETS_OF_SERVICE; i++) {
                    for (String service : List.of("alpha", "beta")) {
                        Target target = new Target("i-" + service + i, "127.0.0.1", Target.sound(WORK_MILLIS, ANSWER_BYTES));
                        store.put("servers", target.id, target.entry(service, "nbo-a", SLOTS, "ready"));
                    }
                }
                try (Gateway one = new Gateway(folder, "vm-1", staying, "nbo-a", store.address(), seeds);
                     Gateway two = new Gateway(folder, "vm-2", lost[0], "nbo-b", store.address(), seeds);
                     Gateway three = new Gateway(folder, "vm-3", lost[1], "nbo-b", store.address(), seeds);
                     Gateway four = new Gateway(folder, "vm-4", lost[2], "nbo-b", store.address(), seeds)) {
                    List<Gateway> zone = List.of(two, three, four);
                    Case.require(one.awaitReady(30), "vm-1 is not ready");
                    for (Gateway gateway : zone) Case.require(gateway.awaitReady(30), "a VM is not ready");
                    AtomicBoolean isOver = new AtomicBoolean();
                    AtomicBoolean isLost = new AtomicBoolean();
                    List<Thread> threads = new ArrayList<>();
                    for (int i = 0; i < 4 * CALLERS_OF_EACH; i++) {
                        int number = i;
                        threads.add(Threads.start("caller-" + i, () -> {
                            Thread.sleep(number * 5);
                            for (int turn = 0; !isOver.get(); turn++) {
                                String id = "r" + number + "-" + turn;
                                String host = number % 4 == 0 || isLost.get() ? staying : lost[number % 4 - 1];
                                String path = number / 4 % 2 == 0 ? "/safe/upload" : "/once/upload";
                                try (Caller caller = new Caller(host)) {
                                    Caller.Outcome outcome = caller.send("POST", path, id, DEADLINE_MILLIS, body, "");
                                    record.line("%s to %s: %s", id, host, outcome);
                                    if (!host.equals(staying)) continue;
                                    if (outcome.answer() != null) answered.incrementAndGet();
                                    if (outcome.millis() <= ROUTE_TIMEOUT_MILLIS) continue;
                                    atTimeout.incrementAndGet();
                                    if (outcome.answer() == null || outcome.millis() > ROUTE_TIMEOUT_MILLIS + 500) {
                                        unanswered.incrementAndGet();
                                    }
                                } catch (java.io.IOException refused) {
                                    record.line("%s: no connection to %s", id, host);
                                    Thread.sleep(200);
                                }
                            }
                        }));
                    }
                    Thread.sleep(8000);
                    Case.require(answered.get() > CALLERS_OF_EACH && unanswered.get() == 0, "callers are not served before the loss");
                    if (withTrouble) {
                        for (Gateway gateway : zone) gateway.close();
                        isLost.set(true);
                        record.line("the zone of vm-2, vm-3 and vm-4 loses power");
                    }
                    Thread.sleep(DARK_MILLIS);
                    if (withTrouble) {
                        for (Gateway gateway : zone) gateway.start();
                        boolean areBack = true;
                        for (Gateway gateway : zone) areBack &= gateway.awaitReady(10);
                        record.line("the VMs of the zone are %s", areBack ? "back" : "not back");
                    }
                    isLost.set(false);
                    Thread.sleep(6000);
                    isOver.set(true);
                    for (Thread thread : threads) thread.join(6000);
                    record.line("all callers have stopped");
                    for (int i = 0; i < 3; i++) {
                        Thread.sleep(3000);
                        String id = "after-" + i;
                        try (Caller caller = new Caller(staying)) {
                            record.line("%s to vm-1: readiness %d, %s", id, one.readiness(), caller.get("/safe/small", id, DEADLINE_MILLIS));
                        } catch (java.io.IOException refused) {
                            record.line("%s: no connection to vm-1", id);
                        }
                    }
                    record.line("the process of vm-1 %s", one.isRunning() ? "runs" : "has ended by itself");
                }
            }
            record.line("at vm-1 %d requests were answered; of %d unanswered at the route's timeout, %d had no answer half a second later",
                answered.get(), atTimeout.get(), unanswered.get());
            return unanswered.get() * 2 <= atTimeout.get();
        });
    }
}
