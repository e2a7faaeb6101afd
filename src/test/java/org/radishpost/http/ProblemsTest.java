package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import org.radishpost.lib.Verdict;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a problem document that has a status from which callers conclude "not run". */
public class ProblemsTest {
  /** Returns the statuses from which callers conclude that a request has not run. */
  @DataProvider
  public Object[] notRunStatuses() {
    return new Object[] {408, 421, 429, 503};
  }

  @Test(dataProvider = "notRunStatuses")
  public void lostResponseHasNoStatusThatMeansNotRun(int status) {
    Problem problem = Problems.responseLost(status, "The connection was lost.");
    assertEquals(problem.status(), 502);
    assertEquals(problem.verdict(), Verdict.UNKNOWN);
  }

  @Test(dataProvider = "notRunStatuses")
  public void libraryResponseHasNoStatusThatMeansNotRun(int status) {
    assertEquals(Problems.fromLibraryStatus(status, Verdict.UNKNOWN).status(), 502);
  }

  @Test
  public void lostResponseKeepsOtherStatus() {
    assertEquals(Problems.responseLost(504, "The target did not respond.").status(), 504);
  }
}
