package birchusher.agent;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The agent's end of a {@link Warden}. */
final class SupervisorClient {
    private final Process process;
    private final OutputStream pipe;

    /** @param lost called from another thread if the warden ends */
    SupervisorClient(String tag, Runnable lost) throws IOException {
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
        process.onExit().thenRun(lost);
    }

    /** The tasks may live for so long from now on. */
    void setLease(long ms) throws IOException {
        pipe.write((ms + "\n").getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
    }

    /** The agent ends in order. The warden kills what is left, and ends. */
    void close() throws IOException, InterruptedException {
        pipe.close();
        process.waitFor();
    }
}
