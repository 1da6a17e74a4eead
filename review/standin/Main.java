package standin;

import java.nio.file.Path;

/** Runs one case: its number and its folder are the arguments; TROUBLE=0 leaves the disruption out. */
public final class Main {
    private static final long LIMIT_MS = 117_000;

    private Main() {}

    public static void main(String[] arguments) throws Exception {
        Record.open(Path.of(arguments[1], "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Deployment deployment = new Deployment();
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
        Net.start("limit", () -> {
            Net.sleep(LIMIT_MS);
            Record.line("the time is over");
            System.exit(2);
        });
        int result = 2;
        try {
            result = (Integer) Class.forName("standin.Case" + arguments[0])
                    .getDeclaredMethod("run", Deployment.class, boolean.class)
                    .invoke(null, deployment, trouble);
        } catch (Exception e) {
            e.printStackTrace();
            Record.line("the case could not run: %s", e);
        }
        Record.line("exit %d", result);
        System.exit(result);
    }
}
