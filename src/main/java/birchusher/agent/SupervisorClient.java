package birchusher.agent;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Starts a {@link Supervisor} process and sends it the lease of the agent's tasks. */
final class SupervisorClient {
    private final Process process;
    private final OutputStream pipe;

    /**
     * @param tag prefix of the tags of all processes to be supervised
     * @param onExit called from another thread when the supervisor process ends
     */
    SupervisorClient(String tag, Runnable onExit) throws IOException {
        String java = ProcessHandle.current().info().command().orElse("java");
        process = new ProcessBuilder(List.of(
                        java,
                        "-Xmx24m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Supervisor.class.getName(),
                        tag))
                .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        pipe = process.getOutputStream();
        process.onExit().thenRun(onExit);
    }

    /** Sets the time after which the supervisor kills all tasks, counted from the receipt of this message. */
    void setLease(long remainingMs) throws IOException {
        pipe.write((remainingMs + "\n").getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
    }

    /** Ends the supervisor, which kills all tasks that are left, and waits for its exit. */
    void close() throws IOException, InterruptedException {
        pipe.close();
        process.waitFor();
    }
}
