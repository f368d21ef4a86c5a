import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Loopback proxy whose open connections can be silenced: they stay open, and nothing arrives on them any more. */
final class Proxy {
    final class Connection {
        final Socket near;
        final Socket far;
        volatile boolean silent;

        /** First line of the latest request on the connection. */
        volatile String latestRequest = "";

        /** Whether the response to that request has not begun. */
        volatile boolean isWaiting;

        Connection(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        boolean isOpen() {
            return !near.isClosed();
        }
    }

    final List<Connection> connections = new CopyOnWriteArrayList<>();
    private final ServerSocket server;

    Proxy(String host, String target) throws Exception {
        server = new ServerSocket(0, 100, InetAddress.getByName(host));
        String[] parts = target.split(":");
        Upstream.daemon(() -> {
            while (true) {
                Socket near = server.accept();
                Socket far = new Socket(parts[0], Integer.parseInt(parts[1]));
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Connection connection = new Connection(near, far);
                connections.add(connection);
                Upstream.daemon(() -> pump(connection, near, far, true));
                Upstream.daemon(() -> pump(connection, far, near, false));
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void pump(Connection connection, Socket from, Socket to, boolean isRequest) throws Exception {
        byte[] buffer = new byte[65536];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count;
            while ((count = input.read(buffer)) >= 0) {
                if (connection.silent) continue;
                connection.isWaiting = isRequest;
                if (isRequest) {
                    connection.latestRequest = new String(buffer, 0, count, StandardCharsets.ISO_8859_1).split("\r\n")[0];
                }
                output.write(buffer, 0, count);
            }
        } finally {
            if (!connection.silent || isRequest) {
                from.close();
                to.close();
            }
        }
    }
}
