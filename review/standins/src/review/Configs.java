package review;

/** Configs of the operator. */
final class Configs {
    private Configs() {
    }

    /** A safe route /safe/ to service alpha and a non-idempotent one /once/ to service beta. */
    static String plain(int version) {
        return plain(version, "alpha");
    }

    /** As [plain], with the safe route to [safeService]. */
    static String plain(int version, String safeService) {
        return "{\"version\":\"r" + version + "\",\"routes\":["
            + "{\"name\":\"r-safe\",\"host\":\"a.example\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout\":\"5000ms\","
            + "\"latency_goal\":\"500ms\",\"priority\":2,\"service\":\"" + safeService + "\",\"max_attempts\":2,\"sticky\":false,\"home_regions\":[]},"
            + "{\"name\":\"r-once\",\"host\":\"a.example\",\"path_prefix\":\"/once/\",\"kind\":\"non_idempotent\",\"timeout\":\"5000ms\","
            + "\"latency_goal\":\"500ms\",\"priority\":1,\"service\":\"beta\",\"max_attempts\":2,\"sticky\":false,\"home_regions\":[]}],"
            + "\"services\":[" + service("alpha") + "," + service("beta") + "," + service("gamma") + "],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":330,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start\":\"3s\",\"cold_per_s\":16.0}";
    }
}
