package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: lists, watches and writes of objects with one revision counter. */
final class Store implements AutoCloseable {
    /** Content of one object; the bytes are sent as they are. */
    private record Item(long revision, byte[] spec) {
    }

    private record Event(long revision, String kind, String name, byte[] spec, boolean removed) {
    }

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Item>> objects = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Socket> connections = new ArrayList<>();
    private final java.util.Set<Socket> silenced = new java.util.HashSet<>();
    private long revision = 100;
    private boolean isSilent;

    /** Number of watch calls that arrived. */
    volatile int watches;

    Store(String host) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName(host));
        Threads.start("store", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized void put(String kind, String name, String spec) {
        put(kind, name, spec.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String kind, String name, byte[] spec) {
        revision++;
        objects.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, new Item(revision, spec));
        events.add(new Event(revision, kind, name, spec, false));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        TreeMap<String, Item> items = objects.get(kind);
        Item former = items == null ? null : items.remove(name);
        if (former == null) return;
        revision++;
        events.add(new Event(revision, kind, name, former.spec(), true));
        notifyAll();
    }

    /** While silent, the store takes connections and calls but answers none. */
    synchronized void setSilent(boolean silent) {
        isSilent = silent;
        notifyAll();
    }

    /** Connections that are open now deliver no further answers, without a reset; new connections work. */
    synchronized void silenceOpenConnections() {
        silenced.addAll(connections);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            synchronized (this) {
                connections.add(socket);
            }
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            while (true) {
                Http.Message call = Http.readMessage(socket.getInputStream(), false);
                if (call == null) return;
                byte[] answer = answer(call);
                synchronized (this) {
                    while (isSilent || silenced.contains(socket)) wait();
                }
                OutputStream out = socket.getOutputStream();
                out.write(answer);
                out.flush();
            }
        }
    }

    private byte[] answer(Http.Message call) throws IOException, InterruptedException {
        String method = call.start().split(" ")[0];
        String[] target = call.second().split("\\?", 2);
        String[] path = target[0].substring("/api/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String part : target[1].split("&")) query.put(part.split("=")[0], part.split("=", 2)[1]);
        }
        if (method.equals("GET") && query.containsKey("watch")) {
            watches++;
            return watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
        }
        synchronized (this) {
            return switch (method) {
                case "GET" -> list(path[0]);
                case "DELETE" -> {
                    remove(path[0], path[1]);
                    yield response(200, "{}".getBytes(StandardCharsets.UTF_8));
                }
                default -> {
                    String body = new String(call.body(), StandardCharsets.UTF_8);
                    String name = path.length > 1 ? path[1] : body.replaceAll("(?s).*?\"name\":\"([^\"]*)\".*", "$1");
                    boolean exists = objects.containsKey(path[0]) && objects.get(path[0]).containsKey(name);
                    if (method.equals("POST") && exists) yield response(409, object(name, objects.get(path[0]).get(name)));
                    int spec = body.indexOf("\"spec\":");
                    put(path[0], name, spec < 0 ? "{}" : body.substring(spec + 7, body.length() - 1));
                    yield response(200, object(name, objects.get(path[0]).get(name)));
                }
            };
        }
    }

    private byte[] list(String kind) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(bytes("{\"items\":["));
        boolean isFirst = true;
        for (Map.Entry<String, Item> entry : objects.getOrDefault(kind, new TreeMap<>()).entrySet()) {
            if (!isFirst) body.write(',');
            isFirst = false;
            body.write(object(entry.getKey(), entry.getValue()));
        }
        body.write(bytes("],\"has_more\":false,\"store_revision\":" + revision + "}"));
        return response(200, body.toByteArray());
    }

    private synchronized byte[] watch(String kind, long from, long waitMillis) throws IOException, InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Event> found = events.stream().filter(it -> it.kind().equals(kind) && it.revision() > from).toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                body.write(bytes("{\"events\":["));
                for (int i = 0; i < found.size(); i++) {
                    Event event = found.get(i);
                    if (i > 0) body.write(',');
                    body.write(bytes("{\"removed\":" + event.removed() + ",\"object\":"));
                    body.write(object(event.name(), new Item(event.revision(), event.spec())));
                    body.write('}');
                }
                body.write(bytes("],\"store_revision\":" + revision + "}"));
                return response(200, body.toByteArray());
            }
            wait(left);
        }
    }

    private static byte[] object(String name, Item item) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes("{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + item.revision()
            + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":"));
        out.write(item.spec());
        out.write(bytes(",\"status\":null}"));
        return out.toByteArray();
    }

    private static byte[] response(int status, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length + "\r\n\r\n"));
        out.write(body);
        return out.toByteArray();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        server.close();
        synchronized (this) {
            for (Socket socket : connections) socket.close();
        }
    }
}
