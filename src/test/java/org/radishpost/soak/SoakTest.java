package org.radishpost.soak;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs entry processes under injected faults and checks that the promises hold.
 *
 * <p>{@code ./soak 1 50} runs seeds 1 to 50.
 */
public class SoakTest {
  /** The seeds of each CI run. Add each seed that has ever failed, with a comment on the cause. */
  private static final List<Long> DEFAULT_SEEDS =
      List.of(
          1L,
          2L,
          // Half of the body of an upload's response looked complete; late copies (issue 30).
          7L,
          // A refusal without an id, or the beginning of a second response, in a body (issue 34).
          2005L,
          // The same; also 2002, 2004, 2008, 2026, 2027, 2028, 2031 and 2035.
          2011L);

  private static final String FIRST_SEED_PROPERTY = "soak.first";
  private static final int STEPS = Integer.getInteger("soak.steps", 12);

  /** Returns the seeds to run. */
  @DataProvider
  public Object[][] seeds() {
    long first = Long.getLong(FIRST_SEED_PROPERTY, 0);
    Stream<Long> requestedSeeds =
        LongStream.rangeClosed(first, Long.getLong("soak.last", first)).boxed();
    Stream<Long> seeds =
        System.getProperty(FIRST_SEED_PROPERTY) == null ? DEFAULT_SEEDS.stream() : requestedSeeds;
    return seeds.map(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void promisesHold(long seed) throws Exception {
    Path directory = Path.of("target", "soak", "seed-" + seed).toAbsolutePath();
    List<Violation> violations = new SoakRun(seed, STEPS, directory).run();
    assertEquals(violations, List.of(), "seed " + seed + ", logs in " + directory);
  }
}
