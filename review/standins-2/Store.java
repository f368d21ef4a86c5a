import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store: objects by kind and name, one revision counter, lists and watches. */
final class Store {
    private record Entry(String kind, String name, String spec, long revision, boolean removed) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private final Map<String, TreeMap<String, Entry>> objects = new HashMap<>();
    private final List<Entry> history = new ArrayList<>();
    private long revision = 10;
    private final HttpServer server;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 100);
        server.createContext("/api/objects/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    synchronized void put(String kind, String name, String spec) {
        Entry entry = new Entry(kind, name, spec, ++revision, false);
        objects.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, entry);
        history.add(entry);
        notifyAll();
    }

    /** Stores a liveness report that changes nothing but `seq`: no new revision and no event. */
    synchronized void refresh(String kind, String name, String spec) {
        TreeMap<String, Entry> ofKind = objects.computeIfAbsent(kind, key -> new TreeMap<>());
        Entry present = ofKind.get(name);
        if (present != null) ofKind.put(name, new Entry(kind, name, spec, present.revision, false));
    }

    synchronized void delete(String kind, String name) {
        Entry present = objects.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        if (present == null) return;
        history.add(new Entry(kind, name, present.spec, ++revision, true));
        notifyAll();
    }

    private synchronized boolean has(String kind, String name) {
        return objects.getOrDefault(kind, new TreeMap<>()).containsKey(name);
    }

    private void handle(HttpExchange call) throws IOException {
        String[] path = call.getRequestURI().getPath().substring("/api/objects/".length()).split("/");
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new LinkedHashMap<>();
        String rawQuery = call.getRequestURI().getQuery();
        if (rawQuery != null) {
            for (String part : rawQuery.split("&")) query.put(part.split("=", 2)[0], part.split("=", 2)[1]);
        }
        try {
            switch (call.getRequestMethod()) {
                case "GET" -> {
                    String text = query.containsKey("watch")
                        ? watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")))
                        : list(path[0]);
                    reply(call, 200, text);
                }
                case "POST" -> {
                    String name = body.replaceFirst("(?s).*?\"name\"\\s*:\\s*\"([^\"]*)\".*", "$1");
                    if (has(path[0], name)) {
                        reply(call, 409, "{}");
                    } else {
                        put(path[0], name, spec(body));
                        reply(call, 200, "{}");
                    }
                }
                case "PUT" -> {
                    put(path[0], path[1], spec(body));
                    reply(call, 200, "{}");
                }
                case "DELETE" -> {
                    boolean present = has(path[0], path[1]);
                    delete(path[0], path[1]);
                    reply(call, present ? 200 : 404, "{}");
                }
                default -> reply(call, 404, "{}");
            }
        } catch (InterruptedException interrupted) {
            call.close();
        }
    }

    private static String spec(String body) {
        int start = body.indexOf("\"spec\":") + "\"spec\":".length();
        return body.substring(start, body.lastIndexOf('}'));
    }

    private synchronized String list(String kind) {
        List<String> items = new ArrayList<>();
        for (Entry entry : objects.getOrDefault(kind, new TreeMap<>()).values()) items.add(entry.json());
        return "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(String kind, long after, long waitMillis) throws InterruptedException {
        long end = System.currentTimeMillis() + waitMillis;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Entry entry : history) {
                if (entry.revision > after && entry.kind.equals(kind)) {
                    events.add("{\"removed\":" + entry.removed + ",\"object\":" + entry.json() + "}");
                }
            }
            long left = end - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
            }
            wait(left);
        }
    }

    private static void reply(HttpExchange call, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }
}
