package review;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

final class Explore2 {
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("review");
        System.out.println(folder);
        String host = "127.0.0." + args[1];
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.plain(3));
        Target alpha = new Target("i-alpha", "127.0.0.1", Target.sound(20, 100));
        Target beta = new Target("i-beta", "127.0.0.1", Target.sound(2000, 100));
        store.put("servers", "i-alpha", alpha.entry("alpha", "nbo-a", 50, "ready"));
        store.put("servers", "i-beta", beta.entry("beta", "nbo-a", 50, "ready"));
        try (Gateway gateway = new Gateway(folder, "vm-1", host, "nbo-a", store.address(), host + ":8382")) {
            System.out.println("ready " + gateway.awaitReady(30));
            switch (args[0]) {
                case "term" -> {
                    List<Thread> threads = new ArrayList<>();
                    for (int i = 0; i < 10; i++) {
                        int n = i;
                        threads.add(Threads.start("c", () -> {
                            try (Caller c = new Caller(host)) {
                                System.out.println(n + " " + c.send("POST", "/once/x", "o" + n, 4000, "hi".getBytes(), ""));
                            }
                        }));
                    }
                    Thread.sleep(500);
                    gateway.signal("TERM");
                    Thread.sleep(500);
                    gateway.signal("TERM");
                    for (Thread t : threads) t.join();
                    System.out.println("ran " + beta.runs.size());
                }
                case "bytes" -> {
                    ByteArrayOutputStream spec = new ByteArrayOutputStream();
                    spec.write("{\"service\":\"al".getBytes());
                    spec.write(0xff);
                    spec.write(0xfe);
                    spec.write("\",\"address\":\"x\"}".getBytes());
                    store.put("servers", "i-strange", spec.toByteArray());
                    Thread.sleep(3000);
                    store.put("servers", "i-alpha", alpha.entry("alpha", "nbo-a", 50, "draining"));
                    Thread.sleep(5000);
                    try (Caller c = new Caller(host)) { System.out.println("after drain: " + c.get("/safe/x", "s1", 2000)); }
                    gateway.close();
                    gateway.start();
                    System.out.println("ready after restart " + gateway.awaitReady(20));
                }
                case "longname" -> {
                    store.put("servers", "i-strange", "{\"" + "n".repeat(60000) + "\":1}");
                    Thread.sleep(3000);
                    store.put("servers", "i-alpha", alpha.entry("alpha", "nbo-a", 50, "draining"));
                    Thread.sleep(5000);
                    try (Caller c = new Caller(host)) { System.out.println("after drain: " + c.get("/safe/x", "s1", 2000)); }
                    gateway.close();
                    gateway.start();
                    System.out.println("ready after restart " + gateway.awaitReady(20));
                }
                case "odd" -> {
                    String[] specs = {"null", "[]", "5", "\"text\"", "{\"service\":5}", "{\"service\":{\"a\":[]},\"slots\":\"x\"}",
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("\"slots\":50", "\"slots\":2147483647"),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("\"slots\":50", "\"slots\":1e300"),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("\"cold_remaining\":\"0ms\"", "\"cold_remaining\":\"1e9999s\""),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("\"cold_remaining\":\"0ms\"", "\"cold_remaining\":\"99999999999999999999999999999999999999s\""),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("\"cold_remaining\":\"0ms\"", "\"cold_remaining\":\"-5s\""),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("127.0.0.1:", "127.0.0.1:9"),
                        alpha.entry("al pha\\u0000\\ud800", "nbo-a", 50, "ready"),
                        alpha.entry("alpha", "nowhere", 50, "ready"),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("\"state\":\"ready\"", "\"state\":\"ready\",\"state\":\"gone\""),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replace("\"seq\":4", "\"seq\":-0.0e-5"),
                        alpha.entry("alpha", "nbo-a", 50, "ready").replaceAll("\"born\":[0-9]+", "\"born\":9223372036854775808"),
                    };
                    for (int i = 0; i < specs.length; i++) {
                        store.put("servers", "i-odd" + i, specs[i]);
                        Thread.sleep(400);
                        try (Caller c = new Caller(host)) { System.out.println(specs[i] + "\n    " + c.get("/safe/x", "s" + i, 2000)); }
                    }
                    Thread.sleep(2000);
                    store.put("servers", "i-alpha", alpha.entry("alpha", "nbo-a", 50, "draining"));
                    Thread.sleep(2000);
                    int before = alpha.runs.size();
                    try (Caller c = new Caller(host)) { System.out.println("after drain: " + c.get("/safe/x", "s100", 2000)); }
                    System.out.println("runs after drain " + (alpha.runs.size() - before));
                    gateway.close();
                    gateway.start();
                    System.out.println("ready after restart " + gateway.awaitReady(20));
                    store.put("evacuations", "Zone X\\u0000", "5");
                    store.put("config", "other", "{\"version\":\"r9\"}");
                    store.put("config", "main", Configs.plain(12, "beta"));
                    Thread.sleep(2000);
                    try (Caller c = new Caller(host)) { System.out.println("moved route: " + c.get("/safe/x", "s200", 3000)); }
                }
            }
            System.out.println("running " + gateway.isRunning());
        }
    }
}
