/** Tests of the analysis of request logs. */
package org.cowslipyoke.pgm.story;
