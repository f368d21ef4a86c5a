import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/** Faulty upstreams answer a few long uploads early, without a length, and reset them in the middle of the answer. */
final class ResetWhileSending extends Trial {
    private static final int ANSWER_BYTES = 4000;
    private static final int SENT_BYTES = 1500;
    private static final int UPSTREAMS = 4;
    private static final int FAULTY = 2;

    /** A faulty upstream spoils every fortieth answer: x is .025. */
    private static final int ANSWERS_A_FAULT = 40;
    private static final int REQUESTS = 400;

    ResetWhileSending(String[] arguments) throws Exception {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new ResetWhileSending(arguments).run();
    }

    @Override
    boolean isBroken() throws Exception {
        Store store = new Store("127.61.1.1");
        store.put("config", "main", config(7, "15000ms", route("upload", "/upload/", "non_idempotent", "5s", 1)));
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'a');
        for (int number = 0; number < UPSTREAMS; number++) {
            boolean isFaulty = number < FAULTY;
            AtomicInteger answers = new AtomicInteger();
            new Upstream(store, "i-" + number, "books", "north-a", 4, "127.61.1.2", 8192, (request, socket) -> {
                if (!trouble || !isFaulty || answers.incrementAndGet() % ANSWERS_A_FAULT != 0) {
                    request.readBody();
                    Upstream.write(socket, Upstream.head(request, ANSWER_BYTES));
                    socket.getOutputStream().write(answer);
                    return true;
                }
                Upstream.write(socket, Upstream.head(request, -1));
                socket.getOutputStream().write(answer, 0, SENT_BYTES);
                Thread.sleep(300);
                record.add("upstream: %s is reset after %d of %d bytes of its answer, its answer number %d", request.id(),
                    SENT_BYTES, ANSWER_BYTES, answers.get());
                Upstream.reset(socket);
                return false;
            });
        }
        EntryVm vm =
            new EntryVm(temporary, "front-1", "127.61.1.3", "north-a", EntryVm.freePort("127.61.1.3"), store.address());
        vm.start();
        vm.awaitReady();
        Thread.sleep(1000);
        byte[] body = new byte[8 * 1024 * 1024];
        int broken = 0;
        for (int index = 0; index < REQUESTS; index++) {
            String id = "up-" + index;
            try (Client client = new Client(vm.front())) {
                client.send("POST", "/upload/" + index, id, 5000, body);
                Client.Answer received = client.receive(7000);
                record.add("client: %s got %s", id, received);
                boolean success = received.status == 200 && received.complete;
                if (success && received.body.length != ANSWER_BYTES) broken++;
            }
        }
        record.add("successes with a body that is not the upstream's whole body: %d", broken);
        return broken > 0;
    }
}
