package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Link between one VM and the store, which can be cut as a partition does: nothing arrives until it heals. */
final class Proxy {
    private static final int BACKLOG = 1;

    private final ServerSocket server;
    private final String host;
    private final int port;
    private final List<Socket> fillers = new ArrayList<>();
    private boolean isCut;

    Proxy(String target) throws IOException {
        host = target.split(":")[0];
        port = Integer.parseInt(target.split(":")[1]);
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Threads.start("proxy", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Holds all bytes, and lets new connections hang: a full queue of connections drops opening packets. */
    void cut() throws IOException {
        synchronized (this) {
            isCut = true;
        }
        // The first one is taken by the waiting accept, the others fill the queue.
        for (int i = 0; i < BACKLOG + 3; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()), 50);
            } catch (IOException queueFull) {
                filler.close();
                return;
            }
        }
    }

    /** Delivers what was held, and takes connections again. */
    void heal() throws IOException {
        for (Socket filler : fillers) filler.close();
        fillers.clear();
        synchronized (this) {
            isCut = false;
            notifyAll();
        }
    }

    private synchronized void awaitLink() throws InterruptedException {
        while (isCut) wait();
    }

    private void accept() throws Exception {
        while (true) {
            Socket caller = server.accept();
            awaitLink();
            Threads.start("proxy-connection", () -> {
                Socket callee = new Socket(host, port);
                caller.setTcpNoDelay(true);
                callee.setTcpNoDelay(true);
                Threads.start("proxy-to-store", () -> pump(caller, callee));
                pump(callee, caller);
            });
        }
    }

    private void pump(Socket from, Socket to) throws Exception {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65_536];
            while (true) {
                int count = in.read(buffer);
                awaitLink();
                if (count < 0) return;
                out.write(buffer, 0, count);
                out.flush();
            }
        }
    }
}
