import java.util.Arrays;

/** An upstream answers a long upload early, without a length, and is reset in the middle of its answer. */
final class ResetWhileSending extends Trial {
    private static final int ANSWER_BYTES = 4000;
    private static final int SENT_BYTES = 1500;

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
        Upstream upstream = new Upstream(store, "i-1", "books", "north-a", 4, "127.61.1.2", 8192, (request, socket) -> {
            record.add("upstream: begins to run %s, %d bytes of body", request.id(), request.length());
            Upstream.write(socket, Upstream.head(request, -1));
            socket.getOutputStream().write(answer, 0, SENT_BYTES);
            Thread.sleep(300);
            if (trouble) {
                record.add("upstream: %s is reset after %d of %d bytes of its answer", request.id(), SENT_BYTES, ANSWER_BYTES);
                Upstream.reset(socket);
            } else {
                socket.getOutputStream().write(answer, SENT_BYTES, ANSWER_BYTES - SENT_BYTES);
                request.readBody();
                record.add("upstream: %s is answered in full, the connection ends", request.id());
                socket.shutdownOutput();
            }
            return false;
        });
        EntryVm vm = new EntryVm(temporary, "front-1", "127.61.1.3", "north-a", EntryVm.freePort("127.61.1.3"), store.address());
        vm.start();
        vm.awaitReady();
        Thread.sleep(1000);
        byte[] body = new byte[8 * 1024 * 1024];
        int broken = 0;
        for (int index = 0; index < 10; index++) {
            String id = "up-" + index;
            try (Client client = new Client(vm.front())) {
                client.send("POST", "/upload/" + index, id, 5000, body);
                record.add("client: sent %s", id);
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
