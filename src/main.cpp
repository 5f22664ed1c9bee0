/** @file main.cpp Entry point. */

int main()
{
    return 0;
}
