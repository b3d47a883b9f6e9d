/** Tests of the stories of requests. */
package org.cowslipyoke.pgm.story;
