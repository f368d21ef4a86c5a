import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty upstreams leave out the end of a few answers and send a second copy of the answer before, which another client got,
 * on the same connection.
 */
final class FilledStream extends Trial {
    private static final int MISSING_BYTES = 2000;
    private static final int EARLIER_BYTES = 3000;
    private static final int UPSTREAMS = 4;
    private static final int FAULTY = 2;

    /** A faulty upstream spoils one of forty answers: x is .025. */
    private static final int ANSWERS_A_FAULT = 40;
    private static final int PAIRS = 300;
    private final ConcurrentHashMap<Socket, byte[]> earlierAnswers = new ConcurrentHashMap<>();

    FilledStream(String[] arguments) throws Exception {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new FilledStream(arguments).run();
    }

    private static byte[] body(char letter, int length) {
        byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) letter);
        return bytes;
    }

    private static byte[] wholeAnswer(Upstream.Request request, byte[] body) throws Exception {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        answer.write(Upstream.head(request, body.length).getBytes(StandardCharsets.ISO_8859_1));
        answer.write(body);
        return answer.toByteArray();
    }

    @Override
    boolean isBroken() throws Exception {
        Store store = new Store("127.62.1.1");
        store.put("config", "main", config(7, "15000ms", route("report", "/report/", "safe", "5s", 1)));
        for (int number = 0; number < UPSTREAMS; number++) {
            boolean isFaulty = number < FAULTY;
            AtomicInteger answers = new AtomicInteger();
            AtomicInteger spoiled = new AtomicInteger();
            new Upstream(store, "i-" + number, "books", "north-a", 4, "127.62.1.2", 0, (request, socket) -> {
                // Upstreams of one service differ in speed.
                if (!isFaulty) Thread.sleep(20);
                String[] path = request.line.split(" ")[1].split("/");
                byte[] answer = wholeAnswer(request, body(path[2].charAt(0), Integer.parseInt(path[3])));
                byte[] earlier = earlierAnswers.get(socket);
                boolean isDue = answers.incrementAndGet() >= (spoiled.get() + 1) * ANSWERS_A_FAULT;
                if (trouble && isFaulty && isDue && path[2].equals("b") && earlier != null) {
                    spoiled.incrementAndGet();
                    socket.getOutputStream().write(answer, 0, answer.length - MISSING_BYTES);
                    Thread.sleep(50);
                    record.add("upstream: the answer to %s lacks its last %d bytes, the answer before it is sent again; %d of %d",
                        request.id(), MISSING_BYTES, spoiled.get(), answers.get());
                    socket.getOutputStream().write(earlier);
                } else {
                    socket.getOutputStream().write(answer);
                    if (path[2].equals("a")) earlierAnswers.put(socket, answer);
                    else earlierAnswers.remove(socket);
                }
                return true;
            });
        }
        EntryVm vm =
            new EntryVm(temporary, "front-1", "127.62.1.3", "north-a", EntryVm.freePort("127.62.1.3"), store.address());
        vm.start();
        vm.awaitReady();
        Thread.sleep(1000);
        int broken = 0;
        for (int length : new int[] {100_000, 400_000}) {
            for (int index = 0; index < PAIRS; index++) {
                get(vm, "one-" + length + "-" + index, 'a', EARLIER_BYTES);
                if (get(vm, "two-" + length + "-" + index, 'b', length)) broken++;
            }
        }
        record.add("successes with a body that is not the upstream's whole body: %d", broken);
        return broken > 0;
    }

    /** Requests a body of [length] times [letter]; returns whether a success has another body. */
    private boolean get(EntryVm vm, String id, char letter, int length) throws Exception {
        try (Client client = new Client(vm.front())) {
            client.send("GET", "/report/" + letter + "/" + length, id, 5000, null);
            Client.Answer received = client.receive(7000);
            boolean success = received.status == 200 && received.complete;
            int foreign = 0;
            for (byte value : received.body) if (value != letter) foreign++;
            if (!success || foreign > 0) record.add("client: %s asked for %d bytes, got %s%s", id, length, received,
                success ? ", of which " + foreign + " are not of its answer" : "");
            if (success && foreign > 0 && received.body[length - 1] == 'a') {
                record.add("client: %s got the end of the answer to the other client", id);
            }
            return success && (foreign > 0 || received.body.length != length);
        }
    }
}
