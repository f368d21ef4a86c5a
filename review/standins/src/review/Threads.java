package review;

/** Threads of the stand-ins, which end with the process. */
final class Threads {
    interface Action {
        void run() throws Exception;
    }

    private Threads() {
    }

    static Thread start(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception expected) {
                // A connection that ends is part of every case; what counts is what callers and targets record.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
