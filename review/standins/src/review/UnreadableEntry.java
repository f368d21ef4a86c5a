package review;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** All processes are killed while the store holds one entry of another writer that can't be read. */
final class UnreadableEntry {
    private static final int RECOVERY_MILLIS = 15_000;

    public static void main(String[] args) throws Exception {
        Case.main(args, (folder, record, withTrouble) -> {
            boolean[] held = new boolean[2];
            Exception[] faults = new Exception[2];
            // Two deployments that share nothing, each with one kind of entry.
            Thread[] threads = new Thread[2];
            for (int i = 0; i < 2; i++) {
                int number = i;
                threads[i] = Threads.start("deployment-" + i, () -> {
                    try {
                        held[number] = play(folder, record, withTrouble, number == 0 ? "bytes" : "name", Case.host(31 + number));
                    } catch (Exception fault) {
                        faults[number] = fault;
                    }
                });
            }
            for (Thread thread : threads) thread.join();
            for (Exception fault : faults) if (fault != null) throw fault;
            return held[0] && held[1];
        });
    }

    private static boolean play(java.nio.file.Path folder, Record record, boolean withTrouble, String variant, String host)
        throws Exception {
        try (Store store = new Store("127.0.0.1")) {
            store.put("config", "main", Configs.plain(3));
            Target target = new Target("i-alpha", "127.0.0.1", Target.sound(100, 1500));
            store.put("servers", "i-alpha", target.entry("alpha", "nbo-a", 5, "ready"));
            try (Gateway gateway = new Gateway(folder, "vm-" + variant, host, "nbo-a", store.address(), host + ":8382")) {
                Case.require(gateway.awaitReady(30), "the VM is not ready");
                int servedBefore = ask(record, host, variant + "-before", 10);
                Case.require(servedBefore == 10, "callers are not served before the fault");
                if (withTrouble) {
                    store.put("servers", "i-other", variant.equals("bytes") ? unreadableBytes() : longName());
                    record.line("%s: another writer's entry is in the store", variant);
                }
                Thread.sleep(1000);
                gateway.close();
                gateway.start();
                long startedAt = System.nanoTime();
                record.line("%s: the VM was killed and started again", variant);
                boolean isReady = gateway.awaitReady(RECOVERY_MILLIS / 1000);
                record.line("%s: the VM is %s", variant, isReady ? "ready" : "not ready " + RECOVERY_MILLIS + " ms later");
                Thread.sleep(Math.max(0, RECOVERY_MILLIS - (System.nanoTime() - startedAt) / 1_000_000));
                int served = ask(record, host, variant + "-after", 40);
                record.line("%s: %d of 40 requests were served after the recovery time", variant, served);
                return served * 4 >= 40;
            }
        }
    }

    private static int ask(Record record, String host, String prefix, int count) throws Exception {
        int served = 0;
        for (int i = 0; i < count; i++) {
            String id = prefix + "-" + i;
            try (Caller caller = new Caller(host)) {
                Caller.Outcome outcome = caller.get("/safe/" + i, id, 1200);
                record.line("%s: %s", id, outcome);
                if (outcome.answer() != null && outcome.answer().status() == 200) served++;
            } catch (java.io.IOException refused) {
                record.line("%s: no connection", id);
            }
            Thread.sleep(200);
        }
        return served;
    }

    /** A JSON object with a string that is not UTF-8. */
    private static byte[] unreadableBytes() throws java.io.IOException {
        ByteArrayOutputStream spec = new ByteArrayOutputStream();
        spec.write("{\"service\":\"al".getBytes(StandardCharsets.UTF_8));
        spec.write(new byte[] {(byte) 0xff, (byte) 0xfe});
        spec.write("\",\"state\":\"ready\"}".getBytes(StandardCharsets.UTF_8));
        return spec.toByteArray();
    }

    /** A valid JSON object of 60 KB, whose only field has a long name. */
    private static byte[] longName() {
        return ("{\"" + "n".repeat(60_000) + "\":1}").getBytes(StandardCharsets.UTF_8);
    }
}
